package bergamotwall.gateway

import bergamotwall.decisions.admission.LeaveAdmission
import bergamotwall.runtime.Clock
import bergamotwall.runtime.ClockReading
import bergamotwall.runtime.read

/** The departure of a process: whether it has begun, and which requests are accepted since. Thread-safe. */
public class Leave internal constructor(
    private val clock: Clock,
    settings: GatewaySettings,
    metrics: GatewayMetrics,
) {
    private val admission = LeaveAdmission(settings.settleMillis, settings.responsesEndMillis)
    private val refused =
        metrics.counter("refused_leaving", "Requests refused because they might outlast this leaving process.")

    @Volatile
    private var begunAt: ClockReading? = null

    private val elapsedMillis: Long? get() = begunAt?.millisUntil(clock.read())

    /** Whether the process is leaving. */
    public val begun: Boolean get() = begunAt != null

    /** Time until connections are closed, by which responses must have ended; null unless the process is leaving. */
    public val remainingMillis: Long? get() = elapsedMillis?.let { admission.remainingMillis(it) }

    /** Whether to accept a request that takes up to [longestMillis]. One that is refused must not run. */
    public fun accepts(longestMillis: Long): Boolean {
        val accepted = wouldAccept(longestMillis)
        if (!accepted) refused.inc()
        return accepted
    }

    /** The same as [accepts], but a refusal is not counted. */
    public fun wouldAccept(longestMillis: Long): Boolean =
        elapsedMillis?.let { admission.accepts(it, longestMillis) } ?: true

    internal fun begin() {
        begunAt = clock.read()
    }
}
