package bergamotwall.gateway.store

import bergamotwall.drivers.KeyValueEntry
import bergamotwall.model.Jsons
import bergamotwall.model.isJsonNestedWithin
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import org.tinylog.Logger

/**
 * Decodes [entry], which another process may have written, whatever it holds; null, with a line in the log, if it is
 * not a document of [deserializer] or [verify] does not accept the value. [confidential]: the line does not quote the
 * document, only tells the offset of the error.
 */
public fun <T : Any> decodeDocument(
    deserializer: DeserializationStrategy<T>,
    entry: KeyValueEntry,
    confidential: Boolean = false,
    verify: (T) -> String? = { null },
): T? {
    var problem: String?
    val value =
        try {
            problem = sizeProblem(entry.value)
            if (problem == null) Jsons.wire.decodeFromString(deserializer, entry.value) else null
        } catch (e: SerializationException) {
            problem = if (confidential) withoutQuotes(e) else e.message
            null
        } catch (e: IllegalArgumentException) {
            problem = if (confidential) withoutQuotes(e) else e.message
            null
        }
    if (value != null) problem = verify(value)
    if (problem == null) return value
    Logger.warn(
        "event=entry_unreadable key={} cause=\"{}\"",
        entry.key.take(MAX_LOGGED_CHARS),
        problem.lineSequence().first().take(MAX_LOGGED_CHARS),
    )
    return null
}

/** Describes [error] without its message, which may quote the document. */
private fun withoutQuotes(error: Exception): String =
    "${error.javaClass.simpleName} ${OFFSET.find(error.message.orEmpty())?.value.orEmpty()}".trim()

private val OFFSET = Regex("at offset \\d+")

private fun sizeProblem(text: String): String? =
    when {
        text.isEmpty() -> "empty, or not UTF-8"
        text.length > MAX_CHARS -> "${text.length} characters long"
        !isJsonNestedWithin(text, MAX_DEPTH) -> "nested deeper than $MAX_DEPTH levels"
        else -> null
    }

/** The key-value service stores no larger values. */
private const val MAX_CHARS = 1_048_576

/** Several times the depth of any document of the fleet, and far from what overflows a thread's stack. */
private const val MAX_DEPTH = 32
private const val MAX_LOGGED_CHARS = 200
