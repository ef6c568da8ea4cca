package bergamotwall.gateway.batches

/**
 * Where the body of an item is in a text: [length] characters from [start] on, between the quotes of a JSON string.
 * They stand for [byteCount] bytes in base64, null if they are not base64.
 */
public class BodyPlace(public val start: Int, public val length: Int, public val byteCount: Int?)

/**
 * Reads the JSON text of a batch piece by piece and separates the bodies of its items from the rest, so that a large
 * batch is never in memory as a whole. The body of an item is the string at `items`, [bodyKey].
 *
 * [rest] is the text with a number in place of each body: its index in [bodies]. It is malformed if the text is, except
 * that the characters of bodies are checked by [BodyPlace.byteCount].
 */
public class BodyScanner(private val bodyKey: String, private val maxRestChars: Int = Int.MAX_VALUE) {
    private val restText = StringBuilder()
    private val places = ArrayList<BodyPlace>()

    /** Number of characters read. */
    private var position = 0

    /** Number of objects and arrays that are open. */
    private var depth = 0
    private val arrays = BooleanArray(BODY_DEPTH + 1)
    private val keys = arrayOfNulls<String>(BODY_DEPTH + 1)

    /** Whether the next string is a key. */
    private var keyFollows = false
    private var inString = false
    private var escaped = false

    /** The key that is being read, as it is written. */
    private var key: StringBuilder? = null
    private var body: BodyDecoder? = null
    private var bodyStart = 0

    public val rest: String get() = restText.toString()

    public val bodies: List<BodyPlace> get() = places

    /** Whether [rest] is not complete, because it has more than [maxRestChars] characters. */
    public val restTooLarge: Boolean get() = restText.length > maxRestChars

    /** Adds the next part of the text, whose characters may be the bytes of UTF-8. */
    public fun add(text: String): Unit = text.forEach { add(it) }

    private fun add(char: Char) {
        val open = body
        when {
            open != null -> addToBody(open, char)
            inString -> addToString(char)
            else -> addOutside(char)
        }
        position++
    }

    private fun addToBody(
        open: BodyDecoder,
        char: Char,
    ) {
        if (char == '"' && !open.escaping) {
            append(places.size.toString())
            append("\"")
            places += BodyPlace(bodyStart, position - bodyStart, open.byteCount)
            body = null
        } else {
            open.add(char)
        }
    }

    private fun addToString(char: Char) {
        append(char)
        val ends = char == '"' && !escaped
        escaped = char == '\\' && !escaped
        if (ends) {
            inString = false
            key?.let { keys[depth] = unescapedKey(it) }
            key = null
        } else {
            key?.let { if (it.length < MAX_KEY_CHARS) it.append(char) }
        }
    }

    private fun addOutside(char: Char) {
        append(char)
        when (char) {
            '{', '[' -> {
                depth++
                if (depth <= BODY_DEPTH) {
                    arrays[depth] = char == '['
                    keys[depth] = null
                }
                keyFollows = char == '{'
            }
            '}', ']' -> {
                if (depth > 0) depth--
                keyFollows = false
            }
            ',' -> keyFollows = depth in 1..BODY_DEPTH && !arrays[depth]
            ':' -> keyFollows = false
            '"' -> startString()
        }
    }

    private fun startString() {
        if (!keyFollows && atBody) {
            body = BodyDecoder()
            bodyStart = position + 1
        } else {
            inString = true
            if (keyFollows && depth <= BODY_DEPTH) key = StringBuilder()
        }
    }

    private val atBody: Boolean
        get() =
            depth == BODY_DEPTH && !arrays[1] && keys[1] == "items" && arrays[2] && !arrays[BODY_DEPTH] &&
                keys[BODY_DEPTH] == bodyKey

    private fun append(char: Char) {
        if (!restTooLarge) restText.append(char)
    }

    private fun append(text: String) {
        if (!restTooLarge) restText.append(text)
    }

    private companion object {
        /** The document, its items, and an item. */
        private const val BODY_DEPTH = 3

        /** Room for the longest key that matters, with all its characters escaped. */
        private const val MAX_KEY_CHARS = 64
        private const val HEXADECIMAL = 16
        private val UNICODE_ESCAPE = Regex("\\\\u([0-9a-fA-F]{4})")

        private fun unescapedKey(key: CharSequence): String =
            UNICODE_ESCAPE.replace(key) { it.groupValues[1].toInt(HEXADECIMAL).toChar().toString() }
    }
}
