package bergamotwall.gateway.usage

import bergamotwall.decisions.duties.UsageWindows
import bergamotwall.decisions.duties.WindowVerdict
import bergamotwall.decisions.duties.windowVerdict
import bergamotwall.model.FencingNumber
import bergamotwall.model.UsageStarts
import bergamotwall.runtime.Decision
import com.github.michaelbull.result.getOrElse
import org.tinylog.Logger
import java.util.TreeSet

/**
 * One term of this process as the leader that reports usage, with the fencing token [fence]: collects starts, decides
 * windows and keeps the reports to be sent. Not thread-safe.
 *
 * Guarantees: a report is stored before it is sent, and what is stored is sent unchanged, by this leader and by any
 * later one. A window is not decided if starts before this term can be missing.
 */
internal class UsageLeader(
    private val dependencies: UsageDependencies,
    private val windows: UsageWindows,
    private val metrics: UsageMetrics,
    val fence: FencingNumber,
) {
    private val clock = dependencies.clock
    private val sinceMillis = clock.monotonicMillis()
    private val collector = UsageCollector(clock, sinceMillis)
    private val records = UsageRecords(dependencies.store)

    /** Windows with a stored report; null until these are read. */
    private var stored: TreeSet<Long>? = null
    private var nextWindow = Long.MIN_VALUE

    /** Reports to be sent. */
    val unsent = UnsentReports(windows, dependencies.random)

    /** Whether the key-value service has shown that another process leads. */
    var lost = false
        private set

    /** Now, in the fleet's time. */
    val fleetMillis: Long get() = clock.monotonicMillis() + collector.wallOffsetMillis

    /** Whether this process hears from no other one, although several are registered. */
    val hearsNobody: Boolean
        get() {
            val others = registered() - dependencies.node
            val fromMillis = clock.monotonicMillis() - SILENCE_MILLIS
            return others.size > 1 && sinceMillis < fromMillis && !collector.heardAny(others, fromMillis)
        }

    /** Merges [message]; returns the number of the start that the sender should push next. */
    fun receive(message: UsageStarts): Long {
        val wallOffsetMillis = collector.wallOffsetMillis
        return collector.receive(message) { atMillis ->
            if (windows.at(atMillis + wallOffsetMillis) < nextWindow) metrics.startedLate()
        }
    }

    /** Decides the windows whose counts are final. */
    suspend fun decide() {
        if (stored == null && !load()) return
        var decided = true
        while (decided && !lost) decided = decideNext()
    }

    private suspend fun load(): Boolean {
        val reports =
            records.list().getOrElse {
                Logger.warn("event=usage_reports_not_read cause=\"{}\"", it.detail)
                return false
            }
        val acceptedBefore = reports.values.filterNotNull().maxOfOrNull { it.acceptedBefore } ?: 0
        reports.values.filterNotNull().filter { it.window >= acceptedBefore }.forEach { unsent.add(it) }
        stored = TreeSet(reports.keys)
        val nowMillis = fleetMillis
        val firstCovered = windows.at(nowMillis - KEPT_MILLIS) + 1
        // A stored window that is still to come stems from a clock that was wrong; its turn comes later.
        val lastStored = reports.keys.filter { it <= windows.at(nowMillis) }.maxOrNull() ?: Long.MIN_VALUE
        nextWindow = maxOf(firstCovered, lastStored + 1)
        Logger.info(
            "event=usage_term_begins fence={} stored={} unsent={} firstWindow={}",
            fence.value,
            reports.size,
            unsent.size,
            nextWindow,
        )
        return true
    }

    /** Decides or skips [nextWindow] if its time has come; returns whether it did. */
    private suspend fun decideNext(): Boolean {
        val offsetMillis = collector.wallOffsetMillis
        val nowMillis = clock.monotonicMillis() + offsetMillis
        val collected = collector.collection(registered(), offsetMillis)
        val window = nextWindow
        return when (windowVerdict(window, windows, nowMillis, collected)) {
            WindowVerdict.WAIT -> false
            WindowVerdict.SKIP -> {
                skip(window, "begins before the starts that are known")
                true
            }
            WindowVerdict.DECIDE -> {
                val counts = collector.counts(windows.beginMillis(window), windows.endMillis(window), offsetMillis)
                val waiting = collected.members.count { !it.isComplete(windows.endMillis(window)) }
                store(UsageReport(window, counts, unsent.firstWindow ?: window), waiting)
            }
        }
    }

    private suspend fun store(
        report: UsageReport,
        incompleteMembers: Int,
    ): Boolean {
        val obsolete = obsoleteBefore(report.window)
        return when (val outcome = records.decide(report, fence, obsolete)) {
            is StoreOutcome.Stored -> {
                stored?.removeAll(obsolete.toSet())
                decided(outcome.report, incompleteMembers, repeated = outcome.report !== report)
                true
            }
            StoreOutcome.Unreadable -> {
                skip(report.window, "has a report that this build can't read")
                true
            }
            StoreOutcome.NotLeading -> {
                lost = true
                Logger.warn("event=usage_lease_lost fence={} window={}", fence.value, report.window)
                false
            }
            is StoreOutcome.Unavailable -> {
                Logger.warn("event=usage_report_not_stored window={} cause=\"{}\"", report.window, outcome.cause)
                false
            }
        }
    }

    private fun decided(
        report: UsageReport,
        incompleteMembers: Int,
        repeated: Boolean,
    ) {
        stored?.add(report.window)
        unsent.add(report)
        passed(report.window, "decided")
        dependencies.journal.record(
            Decision(
                subject = "duty/usage",
                decision = "window ${report.window} decided",
                rule = if (repeated) "it was stored before" else "its counts are final",
                cause = "${fleetMillis - windows.endMillis(report.window)} ms after its end",
                inputs = "starts ${report.counts.values.sum()}, workspaces ${report.counts.size}, " +
                    "incomplete processes $incompleteMembers, fence ${fence.value}",
            ),
        )
    }

    private fun skip(
        window: Long,
        reason: String,
    ) {
        // Before the first report of the fleet no window was expected to have one.
        val expected = stored?.lower(window) != null
        passed(window, if (expected) "skipped" else "before_first")
        if (expected) Logger.warn("event=usage_window_skipped window={} cause=\"{}\"", window, reason)
    }

    private fun passed(
        window: Long,
        outcome: String,
    ) {
        metrics.windowEnded(outcome)
        nextWindow = window + 1
        collector.drop(windows.beginMillis(nextWindow), collector.wallOffsetMillis)
    }

    /** Windows whose reports are old; none unless there are many, so that they take few writes. */
    private fun obsoleteBefore(window: Long): List<Long> {
        val first = window - KEPT_REPORTS
        unsent.dropBefore(first).forEach { Logger.error("event=usage_report_dropped window={}", it) }
        val obsolete = stored?.headSet(first)?.take(MAX_DELETES).orEmpty()
        return if (obsolete.size < MIN_DELETES) emptyList() else obsolete
    }

    private fun registered() = dependencies.gatewayState.members.read().members.keys

    private companion object {
        /** Processes push the starts of the last 30 s to a new leader. */
        private const val KEPT_MILLIS = 30_000L

        /** Several times the interval at which idle processes push. */
        private const val SILENCE_MILLIS = 15_000L

        /** Windows whose reports are kept: five minutes, at windows of five seconds. */
        private const val KEPT_REPORTS = 60

        private const val MIN_DELETES = 16

        /** A transaction of the platform's store holds 32 writes. */
        private const val MAX_DELETES = 24
    }
}
