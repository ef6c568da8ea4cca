package bergamotwall.standins

import kotlin.random.Random

/** Model of an engine's speed: lengths of generations, and times of prefill and decoding. */
internal data class EngineModel(
    val slots: Int,
    val tokenMillis: Double,
    val prefillMillis: Double,
    val seed: Long,
    val medianTokens: Int,
    val tailSigma: Double,
) {
    private val lengths = TokenLengths(medianTokens, tailSigma, seed)

    /** Number of tokens of the generation, the same for every attempt (the part of [requestId] after the last dot). */
    fun length(
        prompt: String,
        requestId: String,
        maxTokens: Int,
    ): Int = lengths.of(prompt, requestId.substringBeforeLast('.'), maxTokens)

    /** Time of one decoding step while [running] requests share the batch. */
    fun stepMillis(running: Int): Double = tokenMillis * (1 + BATCH_COST * running / slots)

    /** Time before the first token; a cached prefix saves most of it. */
    fun prefill(cached: Boolean): Double = if (cached) prefillMillis * CACHED_PREFILL_SHARE else prefillMillis

    /** Random source for injected faults. */
    fun random(): Random = Random(seed)

    private companion object {
        private const val BATCH_COST = 0.3
        private const val CACHED_PREFILL_SHARE = 0.2
    }
}
