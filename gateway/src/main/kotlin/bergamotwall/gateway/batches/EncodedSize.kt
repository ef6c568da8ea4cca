package bergamotwall.gateway.batches

import bergamotwall.model.ItemResult

/** Bytes of [result] in JSON and UTF-8, at most. */
internal fun encodedBytesOf(result: ItemResult): Int = encodedBytesOf(result.text) + RESULT_OVERHEAD_BYTES

/** Bytes of [text] as a JSON string in UTF-8. */
internal fun encodedBytesOf(text: String): Int = text.sumOf { encodedBytesOf(it) }

private fun encodedBytesOf(char: Char): Int =
    when {
        char < ' ' -> CONTROL_BYTES
        char == '"' || char == '\\' -> 2
        char <= LAST_OF_ONE_BYTE -> 1
        char <= LAST_OF_TWO_BYTES -> 2
        // Each half of a surrogate pair counts as two of its four bytes.
        char.isSurrogate() -> 2
        else -> LONGEST_CHAR_BYTES
    }

/** Estimate for the id, versions, score and punctuation of one result. */
private const val RESULT_OVERHEAD_BYTES = 200

/** Some control characters need no more than two. */
private const val CONTROL_BYTES = 6
private const val LONGEST_CHAR_BYTES = 3
private const val LAST_OF_ONE_BYTE = '\u007f'
private const val LAST_OF_TWO_BYTES = '\u07ff'
