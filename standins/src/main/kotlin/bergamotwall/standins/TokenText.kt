package bergamotwall.standins

import bergamotwall.decisions.hashOf
import bergamotwall.model.WeightVersion

private const val END = "END"

/**
 * Text that the engine stand-in generates. Each token has the hash of the prompt, its index and the weight version that
 * generated it, so that callers can check from the text alone that it is complete, answers their prompt and is labelled
 * with the right versions.
 */
internal object TokenText {
    fun token(
        prompt: String,
        index: Int,
        version: WeightVersion,
        last: Boolean,
    ): String = "${promptHash(prompt)}.$index.${version.value}${if (last) ".$END" else ""} "

    fun count(text: String): Int = text.split(' ').count { it.isNotEmpty() }

    /** Whether [text] is the complete response to [prompt]. */
    fun isComplete(
        text: String,
        prompt: String,
    ): Boolean {
        val tokens = text.split(' ').filter { it.isNotEmpty() }
        val numbered = tokens.withIndex().all { (i, token) -> token.startsWith("${promptHash(prompt)}.$i.") }
        return tokens.isNotEmpty() && numbered && tokens.last().endsWith(END) && tokens.count { it.endsWith(END) } == 1
    }

    /** Weight versions that generated [text], in order of first appearance. */
    fun versions(text: String): List<Long> =
        text
            .split(' ')
            .filter { it.isNotEmpty() }
            .mapNotNull { it.split('.').getOrNull(VERSION_FIELD)?.toLongOrNull() }
            .distinct()

    private const val VERSION_FIELD = 2

    private fun promptHash(prompt: String): String = java.lang.Long.toHexString(hashOf(prompt))
}
