package bergamotwall.bench

import bergamotwall.standins.EngineOptions
import bergamotwall.standins.TokenLengths

/** Time of a step for a scheduler that knows every length and shares its engines with no one. */
internal class IdealStep(private val engine: EngineOptions) {
    /** Expected milliseconds: in each group the shortest generations, all at once; the longest of them counts. */
    fun expectedMillis(seed: Long): Double {
        val lengths = TokenLengths(engine.medianTokens, engine.tailSigma, seed)
        val steps = List(
            TRIALS
        ) { trial -> (0 until Workload.GROUPS).maxOf { group -> groupTokens(lengths, trial, group) } }
        return engine.prefillMillis + steps.average() * engine.tokenMillis
    }

    private fun groupTokens(
        lengths: TokenLengths,
        trial: Int,
        group: Int,
    ): Int {
        val drawn = List(Workload.SAMPLES) { lengths.of("ideal", "$trial/$group/$it", Workload.MAX_TOKENS) }
        return drawn.sorted()[Workload.ENOUGH - 1]
    }

    private companion object {
        private const val TRIALS = 500
    }
}
