package bergamotwall.gateway.batches

/**
 * Decodes the content of a JSON string that is base64, one character at a time as the string is written: encoders may
 * escape characters such as the slash. The bytes are written to [out] if it is given; otherwise they are only counted.
 *
 * Accepts what `java.util.Base64.getDecoder()` accepts.
 */
internal class BodyDecoder(private val out: ByteArray? = null) {
    private var digits = 0
    private var paddings = 0
    private var valid = true
    private var bits = 0
    private var outSize = 0

    /** Characters of an escape sequence that has begun, without its backslash; null outside of one. */
    private var escape: StringBuilder? = null

    /** Whether the string goes on after a quote that is added next, because that is escaped. */
    val escaping: Boolean get() = escape != null

    /** Number of bytes, or null if the string is not base64. */
    val byteCount: Int?
        get() {
            val complete =
                when (paddings) {
                    0 -> digits % DIGITS_PER_GROUP != 1
                    else -> paddings <= 2 && (digits + paddings) % DIGITS_PER_GROUP == 0
                }
            return if (valid && complete && escape == null) (digits.toLong() * BITS / BITS_PER_BYTE).toInt() else null
        }

    /** Adds the next character between the quotes. */
    fun add(char: Char) {
        val started = escape
        when {
            started != null -> {
                started.append(char)
                if (started[0] != 'u' || started.length == UNICODE_ESCAPE_CHARS) {
                    escape = null
                    addDigit(unescaped(started))
                }
            }
            char == '\\' -> escape = StringBuilder(UNICODE_ESCAPE_CHARS)
            else -> addDigit(char)
        }
    }

    private fun addDigit(char: Char?) {
        val value = if (char == null || char.code >= VALUES.size) -1 else VALUES[char.code].toInt()
        when {
            char == '=' -> paddings++
            value < 0 || paddings > 0 -> valid = false
            else -> {
                bits = (bits shl BITS) or value
                digits++
                // The first digit of a group completes no byte.
                if (digits % DIGITS_PER_GROUP != 1) write(digits % DIGITS_PER_GROUP)
            }
        }
    }

    private fun write(digitsOfGroup: Int) {
        val array = out ?: return
        // The bits left after 2, 3 and 4 digits of a group are 4, 2 and 0.
        val rest = (DIGITS_PER_GROUP - digitsOfGroup) % DIGITS_PER_GROUP * 2
        if (outSize < array.size) array[outSize++] = (bits shr rest).toByte()
    }

    private companion object {
        private const val DIGITS_PER_GROUP = 4
        private const val BITS = 6
        private const val BITS_PER_BYTE = 8
        private const val UNICODE_ESCAPE_CHARS = 5
        private const val HEXADECIMAL = 16
        private const val ASCII_CHARS = 128
        private const val ALPHABET = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/"

        /** Value of each digit by its character, -1 for other characters. */
        private val VALUES = ByteArray(ASCII_CHARS) { ALPHABET.indexOf(it.toChar()).toByte() }

        /** The character that [sequence] stands for, or null if that can't be in base64. */
        private fun unescaped(sequence: CharSequence): Char? =
            when (sequence[0]) {
                '/' -> '/'
                'u' -> {
                    val hexadecimal = sequence.drop(1)
                    val sound = hexadecimal.all { Character.digit(it, HEXADECIMAL) >= 0 && it.code < ASCII_CHARS }
                    if (sound) hexadecimal.toString().toInt(HEXADECIMAL).toChar() else null
                }
                else -> null
            }
    }
}
