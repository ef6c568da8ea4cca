package bergamotwall.gateway.routes

import bergamotwall.model.ServiceName

/**
 * One route of the configuration: requests to [host] whose path starts with [pathPrefix].
 *
 * [timeoutMillis] is the longest time that a caller is kept waiting; [maxAttempts] bounds the targets that one request
 * may be sent to. [batch] is set on routes of kind [RouteKind.BATCH].
 */
public data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val timeoutMillis: Long,
    val targetLatencyMillis: Long,
    val priority: Int,
    val maxAttempts: Int,
    val resumable: Boolean,
    val shares: List<ServiceShare>,
    val batch: BatchTerms? = null,
) {
    /** Whether a request that may have run can be sent again. */
    public val repeatable: Boolean get() = kind == RouteKind.IDEMPOTENT
}

/** Part of a route's traffic that goes to [service], in proportion to [weight]. */
public data class ServiceShare(val service: ServiceName, val weight: Int)

/** Terms of a batch route: results are due after [runTargetMillis], items may be given up after [retentionMillis]. */
public data class BatchTerms(
    val runTargetMillis: Long,
    val retentionMillis: Long,
    val singleVersion: Boolean,
)
