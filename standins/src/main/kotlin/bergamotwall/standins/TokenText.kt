package bergamotwall.standins

import bergamotwall.decisions.hashOf
import bergamotwall.model.WeightVersion

private const val END = "END"

/**
 * Text of the engine stand-in. Each token names the prompt, its own number and the version that made it, so that
 * callers can tell from the text alone whether it is whole, their own and rightly labelled.
 */
internal object TokenText {
    fun token(
        prompt: String,
        index: Int,
        version: WeightVersion,
        last: Boolean,
    ): String = "${tag(prompt)}.$index.${version.value}${if (last) ".$END" else ""} "

    fun count(text: String): Int = text.split(' ').count { it.isNotEmpty() }

    /** Whether [text] is the whole answer to [prompt]. */
    fun isWhole(
        text: String,
        prompt: String,
    ): Boolean {
        val tokens = text.split(' ').filter { it.isNotEmpty() }
        val numbered = tokens.withIndex().all { (i, token) -> token.startsWith("${tag(prompt)}.$i.") }
        return tokens.isNotEmpty() && numbered && tokens.last().endsWith(END) && tokens.count { it.endsWith(END) } == 1
    }

    /** Versions that made [text], in order of first appearance. */
    fun versions(text: String): List<Long> =
        text
            .split(' ')
            .filter { it.isNotEmpty() }
            .mapNotNull { it.split('.').getOrNull(VERSION_FIELD)?.toLongOrNull() }
            .distinct()

    private const val VERSION_FIELD = 2

    private fun tag(prompt: String): String = java.lang.Long.toHexString(hashOf(prompt))
}
