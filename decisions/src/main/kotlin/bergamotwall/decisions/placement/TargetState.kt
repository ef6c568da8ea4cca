package bergamotwall.decisions.placement

import bergamotwall.decisions.Ewma
import bergamotwall.model.DataCentre
import bergamotwall.model.Fingerprint
import bergamotwall.model.RequestId
import bergamotwall.model.TargetId
import bergamotwall.model.TargetReport
import bergamotwall.model.WeightVersion
import kotlin.math.max
import kotlin.math.min

/**
 * State of one target as its dispatcher knows it: the last report, corrected by the permits granted since.
 *
 * The concurrency window follows the first-token latency: it shrinks by a share when the latency rises well above the
 * lowest one observed, and grows by a fraction of a request when the window is full and the latency low (additive
 * increase, multiplicative decrease; Chiu and Jain, 1989).
 */
internal class TargetState(
    val id: TargetId,
    var address: String,
    var dataCentre: DataCentre,
) {
    var stopping = false
    var swapping = false
    var version = WeightVersion(0)
    var bootId = ""
    var reported = false
    var backoffUntilMillis = 0L
    val running = HashMap<RequestId, Fingerprint>()
    val firstToken = Ewma(LATENCY_ALPHA)
    private var slots = 1
    private var window = 1.0

    /** Requests at the target that this dispatcher did not grant, such as those of an earlier owner of the shard. */
    private var otherRunning = 0
    private var lowestMillis = Double.MAX_VALUE
    private var failures = 0
    private val finishedAt = ArrayDeque<Long>()

    /** Number of requests that the target may run at once. */
    val capacity: Int get() = window.toInt()

    /** Number of further requests that the target can take now. */
    val free: Int get() = capacity - running.size - otherRunning

    /** Share of the window that is in use if one more request is granted. */
    val pressure: Double get() = (running.size + otherRunning + 1) / window

    fun usable(nowMillis: Long): Boolean = reported && !stopping && !swapping && nowMillis >= backoffUntilMillis

    fun report(
        report: TargetReport,
        nowMillis: Long,
    ) {
        if (!reported || report.slots != slots) window = report.slots.toDouble()
        slots = report.slots
        reported = true
        version = report.version
        swapping = report.swappingTo != null
        stopping = stopping || report.leaving
        bootId = report.bootId
        failures = 0
        backoffUntilMillis = 0
        while ((finishedAt.firstOrNull() ?: nowMillis) < nowMillis - REPORT_LAG_MILLIS) finishedAt.removeFirst()
        // The report may still count requests that ended shortly before it.
        otherRunning = max(0, report.running - running.size - finishedAt.size)
    }

    fun failed(
        nowMillis: Long,
        limits: DispatchLimits,
    ) {
        val backoffMillis = min(limits.maxBackoffMillis, limits.initialBackoffMillis shl min(failures, MAX_SHIFT))
        failures++
        backoffUntilMillis = max(backoffUntilMillis, nowMillis + backoffMillis)
    }

    fun released(nowMillis: Long) {
        finishedAt.addLast(nowMillis)
    }

    fun observeFirstToken(
        millis: Double,
        slowFactor: Double,
    ) {
        firstToken.add(millis)
        lowestMillis = min(lowestMillis * LOWEST_DRIFT, millis)
        if (millis > lowestMillis * slowFactor + SLACK_MILLIS) {
            window = max(1.0, window * DECREASE_FACTOR)
        } else if (free <= 1) {
            window = min(slots * MAX_WINDOW_PER_SLOT, window + INCREASE / window)
        }
    }

    private companion object {
        private const val LATENCY_ALPHA = 0.2
        private const val REPORT_LAG_MILLIS = 2_000L
        private const val MAX_SHIFT = 5

        /** Lets the lowest observed latency rise slowly, so that an outdated one is forgotten. */
        private const val LOWEST_DRIFT = 1.002
        private const val SLACK_MILLIS = 25.0
        private const val DECREASE_FACTOR = 0.95
        private const val INCREASE = 0.5
        private const val MAX_WINDOW_PER_SLOT = 1.0
    }
}
