package bergamotwall.decisions.batches

import bergamotwall.decisions.admission.TailEstimator
import bergamotwall.model.GroupSpec

/** Generations of a group, by number, to [start] and to [cancel] next. */
public data class GroupStep(val start: List<Int>, val cancel: List<Int>, val rule: String)

/**
 * Progress of one group: starts generations, and cancels the rest once enough have completed. Not thread-safe.
 *
 * Generations are numbered from 0. [alreadyCompleted] samples of the group exist in a store and need no generation.
 */
public class GroupTracker(private val spec: GroupSpec, private val tail: TailEstimator, alreadyCompleted: Int = 0) {
    private val running = HashMap<Int, Long>()
    private var completed = alreadyCompleted
    private var next = 0

    /** Whether enough samples are complete. */
    public val complete: Boolean get() = completed >= spec.enough

    /** Number of generations in flight. */
    public val inFlight: Int get() = running.size

    /** First generations to start at [nowMillis]. */
    public fun begin(nowMillis: Long): GroupStep = refill(nowMillis, "first dispatch")

    /** Generation [number] completed. */
    public fun completed(
        number: Int,
        nowMillis: Long,
    ): GroupStep {
        if (running.remove(number) == null) return GroupStep(emptyList(), emptyList(), "already cancelled")
        completed++
        return if (complete) cancelRest() else refill(nowMillis, "not yet enough")
    }

    private fun cancelRest(): GroupStep {
        val rest = running.keys.sorted()
        running.clear()
        return GroupStep(emptyList(), rest, "enough samples are complete")
    }

    /** Generation [number] failed permanently; another one replaces it. */
    public fun failed(
        number: Int,
        nowMillis: Long,
    ): GroupStep {
        running.remove(number)
        return refill(nowMillis, "replaces a failed generation")
    }

    /** A completed sample has become too old; another generation replaces it. */
    public fun expired(nowMillis: Long): GroupStep {
        completed--
        return refill(nowMillis, "replaces an expired sample")
    }

    /** Starts a spare when more generations have run past the tail of observed durations than there are spares. */
    public fun tick(nowMillis: Long): GroupStep {
        val late = running.values.count { nowMillis - it > tail.lateAfterMillis() }
        val spares = running.size - (spec.enough - completed)
        val room = spec.n - running.size - completed
        if (complete || late <= spares || room <= 0) return GroupStep(emptyList(), emptyList(), "none late")
        return GroupStep(start(1, nowMillis), emptyList(), "spare for a straggler")
    }

    private fun refill(
        nowMillis: Long,
        rule: String,
    ): GroupStep {
        val missing = spec.enough - completed
        val spares = minOf(spec.n - spec.enough, tail.spares(missing))
        val wanted = if (missing <= 0) 0 else missing + spares - running.size
        return GroupStep(start(maxOf(0, wanted), nowMillis), emptyList(), rule)
    }

    private fun start(
        count: Int,
        nowMillis: Long,
    ): List<Int> = List(count) { next++ }.onEach { running[it] = nowMillis }
}
