package bergamotwall.decisions

import bergamotwall.model.DataCentre
import bergamotwall.model.Fingerprint
import bergamotwall.model.RequestId
import bergamotwall.model.TargetId
import bergamotwall.model.TargetReport
import bergamotwall.model.WeightVersion
import kotlin.math.max
import kotlin.math.min

/**
 * What a dispatcher knows of one target: the last report, corrected by what it granted itself since.
 *
 * The window follows the first-token latency: it shrinks by a share when that rises well above the fastest seen, and
 * grows by a fraction of a request when full and fast (additive increase, multiplicative decrease; Chiu and Jain,
 * 1989).
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
    var closedUntilMillis = 0L
    val running = HashMap<RequestId, Fingerprint>()
    val firstToken = Ewma(LATENCY_ALPHA)
    private var slots = 1
    private var window = 1.0
    private var foreign = 0
    private var fastestMillis = Double.MAX_VALUE
    private var failures = 0
    private val finishedAt = ArrayDeque<Long>()

    /** Requests that it may run at once. */
    val capacity: Int get() = window.toInt()

    /** Requests that it can take now. */
    val free: Int get() = capacity - running.size - foreign

    /** Share of the window in use if one more is granted. */
    val pressure: Double get() = (running.size + foreign + 1) / window

    fun usable(nowMillis: Long): Boolean = reported && !stopping && !swapping && nowMillis >= closedUntilMillis

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
        closedUntilMillis = 0
        while ((finishedAt.firstOrNull() ?: nowMillis) < nowMillis - REPORT_LAG_MILLIS) finishedAt.removeFirst()
        foreign = max(0, report.running - running.size - finishedAt.size)
    }

    fun failed(
        nowMillis: Long,
        limits: DispatchLimits,
    ) {
        val backoffMillis = min(limits.circuitMaxMillis, limits.circuitFirstMillis shl min(failures, MAX_SHIFT))
        failures++
        closedUntilMillis = max(closedUntilMillis, nowMillis + backoffMillis)
    }

    fun released(nowMillis: Long) {
        finishedAt.addLast(nowMillis)
    }

    fun observeFirstToken(
        millis: Double,
        slowFactor: Double,
    ) {
        firstToken.add(millis)
        fastestMillis = min(fastestMillis * FORGET_FASTEST, millis)
        if (millis > fastestMillis * slowFactor + SLACK_MILLIS) {
            window = max(1.0, window * SHRINK)
        } else if (free <= 1) {
            window = min(slots * MAX_OVER_SLOTS, window + GROW / window)
        }
    }

    private companion object {
        private const val LATENCY_ALPHA = 0.2
        private const val REPORT_LAG_MILLIS = 2_000L
        private const val MAX_SHIFT = 5
        private const val FORGET_FASTEST = 1.002
        private const val SLACK_MILLIS = 25.0
        private const val SHRINK = 0.95
        private const val GROW = 0.5
        private const val MAX_OVER_SLOTS = 1.0
    }
}
