package bergamotwall.model

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException

/** Decodes [text], JSON with comments, by [strategy]; problems refer to the document as [source]. */
public fun <T> readDocument(
    strategy: DeserializationStrategy<T>,
    text: String,
    source: String,
): Result<T, DocumentProblem> =
    try {
        Ok(Jsons.withComments.decodeFromString(strategy, text))
    } catch (e: SerializationException) {
        Err(documentProblem(e.message.orEmpty(), text, source))
    } catch (e: IllegalArgumentException) {
        Err(documentProblem(e.message.orEmpty(), text, source))
    }

// Patterns of the messages of kotlinx.serialization.
private val OFFSET = Regex("offset (\\d+)")
private val UNKNOWN_KEY = Regex("unknown key '([^']+)'")
private val PATH = Regex("at path:? (\\$\\S*)")
private val MISSING = Regex("Field[s]? (.+?) (?:is|are) required")

private fun documentProblem(
    message: String,
    text: String,
    source: String,
): DocumentProblem {
    val path = PATH.find(message)?.groupValues?.get(1).orEmpty().ifEmpty { "$" }
    val unknown = UNKNOWN_KEY.find(message)?.groupValues?.get(1)
    val missing = MISSING.find(message)?.groupValues?.get(1)
    val line = lineOf(message, text, unknown)
    return when {
        unknown != null -> DocumentProblem(
            source,
            line,
            "$path.$unknown",
            "unknown field",
            "remove it or correct its spelling"
        )
        missing != null -> DocumentProblem(source, line, path, "missing field $missing", "add it")
        else -> DocumentProblem(
            source,
            line,
            path,
            message.lineSequence().first(),
            "give a value of the documented type"
        )
    }
}

private fun lineOf(
    message: String,
    text: String,
    unknown: String?,
): Int {
    val byOffset = OFFSET.find(message)?.groupValues?.get(1)?.toIntOrNull()
    val offset = byOffset ?: unknown?.let { text.indexOf("\"$it\"") } ?: 0
    return 1 + text.take(offset.coerceIn(0, text.length)).count { it == '\n' }
}
