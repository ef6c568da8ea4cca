package bergamotwall.standins

import bergamotwall.decisions.hashOf
import java.util.Random
import kotlin.math.exp

/** Lengths of generations: log-normal with a long tail, and reproducible by seed, prompt and id. */
public class TokenLengths(private val medianTokens: Int, private val tailSigma: Double, private val seed: Long) {
    /** Number of tokens of the generation [id] of [prompt], at most [maxTokens]. */
    public fun of(
        prompt: String,
        id: String,
        maxTokens: Int,
    ): Int {
        val random = Random(hashOf("$seed/$prompt/$id"))
        val tokens = medianTokens * exp(tailSigma * random.nextGaussian())
        return tokens.toInt().coerceIn(minOf(MIN_TOKENS, maxTokens), maxTokens)
    }

    private companion object {
        private const val MIN_TOKENS = 4
    }
}
