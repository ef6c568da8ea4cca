package bergamotwall.decisions.batches

import bergamotwall.decisions.placement.CandidateTarget
import bergamotwall.decisions.placement.waitFactor
import bergamotwall.model.TargetId

/** Chooses for an item the one of [candidates] where it is expected to end first. */
internal class ItemEnds(candidates: List<CandidateTarget>) {
    private val candidates = candidates.associateBy { it.id }
    private val unknownTokenMillis =
        candidates.map { it.tokenMillis }.filter { it > 0 }.ifEmpty { listOf(1.0) }.average()

    /**
     * The target in [pool] where an item of [tokens] ends first, if [free] slots are left of those of the candidates;
     * [preferred] if that is in the pool and not much slower.
     */
    fun choose(
        pool: List<TargetId>,
        preferred: TargetId?,
        tokens: Long,
        free: Map<TargetId, Int>,
    ): TargetId? {
        val millis = pool.associateWith { expectedMillis(candidates.getValue(it), tokens, free.getValue(it)) }
        val first = millis.minByOrNull { it.value } ?: return null
        val preferredMillis = millis[preferred] ?: Double.MAX_VALUE
        return if (preferredMillis <= first.value * MUCH_SLOWER) preferred else first.key
    }

    private fun expectedMillis(
        target: CandidateTarget,
        tokens: Long,
        free: Int,
    ): Double {
        val tokenMillis = if (target.tokenMillis > 0) target.tokenMillis else unknownTokenMillis
        val usualMillis = tokenMillis * maxOf(1, tokens)
        val running = target.running + target.free - free
        return usualMillis * (target.slowdown?.over(usualMillis) ?: 1.0) * waitFactor(running, target.slots)
    }

    private companion object {
        /** A cached prompt saves a part of a generation only, and lasting speeds differ by 0.7 to 1.7. */
        private const val MUCH_SLOWER = 1.5
    }
}
