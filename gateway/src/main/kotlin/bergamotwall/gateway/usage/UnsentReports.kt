package bergamotwall.gateway.usage

import bergamotwall.decisions.duties.UsageWindows
import java.util.TreeMap
import kotlin.random.Random

/** Decided reports that the platform has not accepted yet. Not thread-safe. */
internal class UnsentReports(private val windows: UsageWindows, private val random: Random) {
    private class Unsent(val report: UsageReport) {
        var attempts = 0
        var nextAtMillis = Long.MIN_VALUE
    }

    private val reports = TreeMap<Long, Unsent>()

    val size: Int get() = reports.size

    /** The first window without an accepted report; null if there is none. */
    val firstWindow: Long? get() = reports.keys.firstOrNull()

    /** Adds [report], unless it is there. */
    fun add(report: UsageReport) {
        reports.putIfAbsent(report.window, Unsent(report))
    }

    /**
     * The report to send at [nowMillis] of the monotonic clock: the oldest that is not due yet at [fleetMillis], so
     * that a backlog makes no further reports late; otherwise the newest. Null if all wait for their repetition.
     */
    fun next(
        nowMillis: Long,
        fleetMillis: Long,
    ): UsageReport? {
        val ready = reports.values.filter { it.nextAtMillis <= nowMillis }.map { it.report }
        return ready.firstOrNull { windows.dueMillis(it.window) > fleetMillis } ?: ready.lastOrNull()
    }

    /** [report] needs no further attempt. Returns the number of attempts before the last one. */
    fun done(report: UsageReport): Int = reports.remove(report.window)?.attempts ?: 0

    /** Lets [report], whose attempt failed at [nowMillis], wait for its repetition. */
    fun failed(
        report: UsageReport,
        nowMillis: Long,
    ) {
        val unsent = reports[report.window] ?: return
        val backoffMillis = minOf(FIRST_BACKOFF_MILLIS shl minOf(unsent.attempts, MAX_DOUBLINGS), MAX_BACKOFF_MILLIS)
        unsent.attempts++
        unsent.nextAtMillis = nowMillis + backoffMillis / 2 + random.nextLong(backoffMillis)
    }

    /** Drops the reports of windows before [window]; returns them. */
    fun dropBefore(window: Long): List<Long> =
        reports.headMap(window).keys.toList().also { reports.headMap(window).clear() }

    private companion object {
        private const val FIRST_BACKOFF_MILLIS = 200L
        private const val MAX_DOUBLINGS = 4

        /** With the lowest number of unsent reports this is one call a second, far below what the API allows. */
        private const val MAX_BACKOFF_MILLIS = 1_000L
    }
}
