package bergamotwall.gateway.targets

import bergamotwall.decisions.placement.CandidateTarget

/** What is known of [target] at one moment: the [candidate] that placement sees, and what that is made from. */
internal class TargetView(
    val target: Target,
    val candidate: CandidateTarget,
    val load: LoadView,
    val limit: LimitView?,
)

/**
 * State of a [TargetLoad] at one moment. [otherRequestsAgeMillis] and [latencyAgeMillis] are the times since the last
 * report and since the last response that was measured, null if there was none. [backoffMillis] is the remaining
 * backoff after [failures] consecutive failures; [probing]: the target gets one request at a time.
 */
internal data class LoadView(
    val ownRequests: Int,
    val otherRequests: Int,
    val otherRequestsAgeMillis: Long?,
    val latencyAgeMillis: Long?,
    val failures: Int,
    val backoffMillis: Long,
    val probing: Boolean,
)

/** The state of [load] at [nowMillis], when placement sees it as [candidate]. */
internal fun loadView(
    load: TargetLoad,
    candidate: CandidateTarget,
    nowMillis: Long,
): LoadView =
    LoadView(
        ownRequests = load.ownRequests,
        otherRequests = (candidate.running - load.ownRequests).coerceAtLeast(0),
        otherRequestsAgeMillis = load.reportedAtMillis?.let { nowMillis - it },
        latencyAgeMillis = load.latency.measuredAtMillis?.let { nowMillis - it },
        failures = load.failureCount,
        backoffMillis = (load.backoffEndsAtMillis - nowMillis).coerceAtLeast(0),
        probing = load.isProbing,
    )

/**
 * A target's request limit of [perSecond], named [ageMillis] ago, of which this process has [sharePerSecond]. It may
 * send [admitted] requests now, or one in [waitMillis]; [Long.MAX_VALUE] if it has no share.
 */
internal class LimitView(
    val perSecond: Double,
    val ageMillis: Long,
    val sharePerSecond: Double,
    val admitted: Int,
    val waitMillis: Long,
)
