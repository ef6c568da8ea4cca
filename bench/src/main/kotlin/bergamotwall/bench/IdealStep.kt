package bergamotwall.bench

import bergamotwall.standins.EngineOptions
import bergamotwall.standins.TokenLengths

/** Time of a step with an ideal scheduler, which knows every length and has the engines for this step alone. */
internal class IdealStep(private val engine: EngineOptions) {
    /** Expected milliseconds if the [Workload.ENOUGH] shortest generations of each group run, all at once. */
    fun expectedMillis(seed: Long): Double {
        val lengths = TokenLengths(engine.medianTokens, engine.tailSigma, seed)
        val steps =
            List(TRIALS) { trial -> (0 until Workload.GROUPS).maxOf { group -> groupTokens(lengths, trial, group) } }
        return engine.prefillMillis + steps.average() * engine.tokenMillis
    }

    private fun groupTokens(
        lengths: TokenLengths,
        trial: Int,
        group: Int,
    ): Int {
        val lengthsOfGroup = List(Workload.SAMPLES) { lengths.of("ideal", "$trial/$group/$it", Workload.MAX_TOKENS) }
        return lengthsOfGroup.sorted()[Workload.ENOUGH - 1]
    }

    private companion object {
        private const val TRIALS = 500
    }
}
