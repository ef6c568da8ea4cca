package bergamotwall.standins

import kotlin.random.Random

/** Lengths and times of the engine stand-in. */
internal data class EngineModel(
    val slots: Int,
    val tokenMillis: Double,
    val prefillMillis: Double,
    val seed: Long,
    val medianTokens: Int,
    val tailSigma: Double,
) {
    private val lengths = TokenLengths(medianTokens, tailSigma, seed)

    /** Tokens that the request will have, the same on every attempt at it. */
    fun length(
        prompt: String,
        requestId: String,
        maxTokens: Int,
    ): Int = lengths.of(prompt, requestId.substringBeforeLast('.'), maxTokens)

    /** Time of one decoding step while [running] requests share the batch. */
    fun stepMillis(running: Int): Double = tokenMillis * (1 + BATCH_COST * running / slots)

    /** Time before the first token. */
    fun prefill(cached: Boolean): Double = if (cached) prefillMillis * CACHED_SHARE else prefillMillis

    /** Random source for faults. */
    fun random(): Random = Random(seed)

    private companion object {
        private const val BATCH_COST = 0.3
        private const val CACHED_SHARE = 0.2
    }
}
