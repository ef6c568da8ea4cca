package bergamotwall.decisions.duties

/** What a leader does about an undecided window. */
public enum class WindowVerdict {
    /** Starts may still arrive. */
    WAIT,

    /** The counts are final. */
    DECIDE,

    /** Some of its starts can't be known, so it gets no report. */
    SKIP,
}

/**
 * What a leader has collected, in the fleet's time: starts from [coveredFromMillis] on, of processes with the progress
 * [members]. It collects since [sinceMillis].
 */
public data class UsageCollection(
    val sinceMillis: Long,
    val coveredFromMillis: Long,
    val members: Collection<MemberProgress>,
)

/**
 * Whether [window] may be decided at [nowMillis], given [collected].
 *
 * Failures: a process that was killed, paused or cut off delays a window up to [UsageWindows.latestMillis], not beyond
 * the time at which the report is due. A new leader decides nothing until every process has sent its starts again, or
 * [COLLECT_MILLIS] have passed, and nothing about windows that began before those starts.
 */
public fun windowVerdict(
    window: Long,
    windows: UsageWindows,
    nowMillis: Long,
    collected: UsageCollection,
): WindowVerdict {
    val endMillis = windows.endMillis(window)
    val collectedAtMillis = collected.sinceMillis + COLLECT_MILLIS
    val collecting = nowMillis < collectedAtMillis && collected.members.any { it.completeUntilMillis == null }
    return when {
        collecting -> WindowVerdict.WAIT
        windows.beginMillis(window) < collected.coveredFromMillis -> WindowVerdict.SKIP
        nowMillis < endMillis + windows.settleMillis -> WindowVerdict.WAIT
        nowMillis >= maxOf(endMillis + windows.latestMillis, collectedAtMillis) -> WindowVerdict.DECIDE
        collected.members.all { it.isComplete(endMillis) } -> WindowVerdict.DECIDE
        else -> WindowVerdict.WAIT
    }
}

/** Longer than a process needs to learn of a new leader and to reach it over another process. */
private const val COLLECT_MILLIS = 3_000L
