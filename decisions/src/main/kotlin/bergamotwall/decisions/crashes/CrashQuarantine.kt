package bergamotwall.decisions.crashes

import bergamotwall.model.Fingerprint
import bergamotwall.model.TargetId

/**
 * Which content of requests may run, given the interrupted runs in [table]. Immutable.
 *
 * An interrupted run counts as a crash at once, because the next run may crash another target before the end of the
 * first one is certain. It is dismissed if the target turns out to be running, or if the content completes elsewhere.
 */
public class CrashQuarantine(
    public val limits: CrashLimits = CrashLimits(),
    public val table: InterruptionTable = InterruptionTable(),
) {
    private val crashes =
        table.entries.filterValues { it.verdict.counts }.entries.groupBy({ it.key.content }, { it.key to it.value })

    /** Whether no content is suspected of crashing targets. */
    public val empty: Boolean get() = crashes.isEmpty()

    /** Number of contents that crashed a target. */
    public val suspectedContents: Int get() = crashes.size

    /** Targets that crashed while they ran [content]. */
    public fun crashedTargets(content: Fingerprint): List<TargetId> =
        crashes[content].orEmpty().map { (key, _) -> key.target }

    /** Number of contents that are refused at [nowMillis]. */
    public fun refusedContents(nowMillis: Long): Int = crashes.keys.count { refusedForMillis(it, nowMillis) > 0 }

    /** How long requests with [content] are refused from [nowMillis] on; 0 if they may run. */
    public fun refusedForMillis(
        content: Fingerprint,
        nowMillis: Long,
    ): Long {
        val known = crashes[content].orEmpty()
        if (known.size < SECOND_CRASH) return 0
        val refusalMillis =
            if (known.size == SECOND_CRASH) limits.secondCrashRefusalMillis else limits.retentionMillis
        val lastSeenAtMillis = known.maxOf { (_, value) -> value.seenAtMillis }
        return (lastSeenAtMillis + refusalMillis - nowMillis).coerceAtLeast(0)
    }

    /**
     * Interruptions that other processes must learn of now: those seen until [seenUntilMillis], and those of content
     * with several crashes.
     */
    public fun toShare(seenUntilMillis: Long): List<InterruptionKey> =
        crashes.values.flatMap { known ->
            known
                .filter { (_, value) -> value.local }
                .filter { (_, value) -> known.size >= SECOND_CRASH || value.seenAtMillis <= seenUntilMillis }
                .map { (key, _) -> key }
        }

    /** The quarantine after [change] of its table. */
    public fun with(change: (InterruptionTable) -> InterruptionTable): CrashQuarantine {
        val next = change(table)
        return if (next == table) this else CrashQuarantine(limits, next)
    }

    private companion object {
        /** Number of crashes from which content is refused: one crash may have any cause. */
        private const val SECOND_CRASH = 2
    }
}
