package bergamotwall.decisions

import bergamotwall.model.GroupSpec

/** What to do next for a group of samples. */
public data class GroupStep(val start: List<Int>, val cancel: List<Int>, val rule: String)

/**
 * Progress of one group: starts generations, and once enough are whole cancels the rest. Not thread-safe.
 *
 * Generations are numbered from 0. [alreadyWhole] samples were found in a store and need no generation.
 */
public class GroupTracker(private val spec: GroupSpec, private val tail: TailEstimator, alreadyWhole: Int = 0) {
    private val running = HashMap<Int, Long>()
    private var whole = alreadyWhole
    private var next = 0

    /** Whether enough samples are whole. */
    public val complete: Boolean get() = whole >= spec.enough

    /** Number of generations in flight. */
    public val inFlight: Int get() = running.size

    /** First generations to start at [nowMillis]. */
    public fun begin(nowMillis: Long): GroupStep = refill(nowMillis, "first dispatch")

    /** Generation [number] ended whole. */
    public fun whole(
        number: Int,
        nowMillis: Long,
    ): GroupStep {
        if (running.remove(number) == null) return GroupStep(emptyList(), emptyList(), "late")
        whole++
        return if (complete) cancelRest() else refill(nowMillis, "not yet enough")
    }

    private fun cancelRest(): GroupStep {
        val rest = running.keys.sorted()
        running.clear()
        return GroupStep(emptyList(), rest, "enough samples are whole")
    }

    /** Generation [number] failed for good; another takes its place. */
    public fun failed(
        number: Int,
        nowMillis: Long,
    ): GroupStep {
        running.remove(number)
        return refill(nowMillis, "replaces a failed generation")
    }

    /** A whole sample turned out too old; another generation takes its place. */
    public fun expired(nowMillis: Long): GroupStep {
        whole--
        return refill(nowMillis, "replaces an expired sample")
    }

    /** Starts a spare when a generation runs past the tail of observed lengths. */
    public fun tick(nowMillis: Long): GroupStep {
        val late = running.values.count { nowMillis - it > tail.lateAfterMillis() }
        val spares = running.size - (spec.enough - whole)
        val room = spec.n - running.size - whole
        if (complete || late <= spares || room <= 0) return GroupStep(emptyList(), emptyList(), "none late")
        return GroupStep(start(1, nowMillis), emptyList(), "spare for a straggler")
    }

    private fun refill(
        nowMillis: Long,
        rule: String,
    ): GroupStep {
        val missing = spec.enough - whole
        val spares = minOf(spec.n - spec.enough, tail.spares(missing))
        val wanted = if (missing <= 0) 0 else missing + spares - running.size
        return GroupStep(start(maxOf(0, wanted), nowMillis), emptyList(), rule)
    }

    private fun start(
        count: Int,
        nowMillis: Long,
    ): List<Int> = List(count) { next++ }.onEach { running[it] = nowMillis }
}
