package bergamotwall.gateway.explain

import kotlinx.serialization.Serializable

/**
 * Where process [process] would send a request now, and why. [admitted] is null if that is not known without a call.
 * [status], [reason] and [retryAfterMillis] are those of the refusal if it is not admitted. [owner] is the process that
 * would run a batch. Ages are those of the newest proof that the configuration [configuration] and the list of targets
 * are current; null if there is none yet.
 */
@Serializable
public data class Explanation(
    public val process: String,
    public val configuration: Long,
    public val configurationAgeMillis: Long? = null,
    public val targetsAgeMillis: Long? = null,
    public val route: ExplainedRoute? = null,
    public val workspace: String? = null,
    public val workspacePriority: Int? = null,
    public val admitted: Boolean? = null,
    public val status: Int? = null,
    public val reason: String? = null,
    public val retryAfterMillis: Long? = null,
    public val limits: ExplainedLimits? = null,
    public val owner: String? = null,
    public val services: List<ExplainedService> = emptyList(),
    public val items: List<ExplainedItem> = emptyList(),
    public val choice: String? = null,
    public val notes: List<String> = emptyList(),
    public val changes: List<String> = emptyList(),
)

/** The route of a request; [priority] orders items of batches. */
@Serializable
public data class ExplainedRoute(
    public val name: String,
    public val host: String,
    public val pathPrefix: String,
    public val kind: String,
    public val priority: Int,
    public val public: Boolean,
)

/**
 * Limits of a request. It waits for a response for at most [longestMillis] and is sent to at most [maxAttempts]
 * targets. [repeatable]: it may be sent to another target although it may have run. [hedgeAfterMillis]: the longest
 * time without a response after which it is sent to a second target as well; null if it is not. [leavingMillis]: the
 * time until this process, which is leaving, ends all responses. For a batch, [longestMillis] is when its results are
 * due, and [maxAttempts] bounds the error responses to an item.
 */
@Serializable
public data class ExplainedLimits(
    public val longestMillis: Long,
    public val maxAttempts: Int,
    public val repeatable: Boolean,
    public val hedgeAfterMillis: Long? = null,
    public val leavingMillis: Long? = null,
)

/** A service that may serve a request, chosen by [weight]. [choice] is its target; null if there is none now. */
@Serializable
public data class ExplainedService(
    public val name: String,
    public val weight: Int,
    public val choice: String? = null,
    public val refusal: String? = null,
    public val targets: List<ExplainedTarget>,
)

/** An item of a batch, and the [target] that it would be sent to; null if it would wait. */
@Serializable
public data class ExplainedItem(public val id: String, public val target: String? = null)

/**
 * A candidate target. [verdict] says what the decision makes of it. The other fields are the decision's inputs; those
 * whose names end with `AgeMillis` are the ages of the ones before them. A latency of 0 is not known yet.
 */
@Serializable
public data class ExplainedTarget(
    public val id: String,
    public val address: String,
    public val verdict: String,
    public val dataCentre: String,
    public val local: Boolean,
    public val softwareVersion: String? = null,
    public val weightVersions: Map<String, Long> = emptyMap(),
    public val expectedMillis: Double,
    public val latencyMillis: Long,
    public val latencyAgeMillis: Long? = null,
    public val slots: Int,
    public val ownRequests: Int,
    public val otherRequests: Int,
    public val otherRequestsAgeMillis: Long? = null,
    public val slowdown: Double? = null,
    public val slowdownAgeMillis: Long? = null,
    public val failures: Int,
    public val backoffMillis: Long,
    public val probing: Boolean,
    public val limit: ExplainedLimit? = null,
)

/**
 * A target's limit of [perSecond] requests a second, named [ageMillis] ago, of which this process has [sharePerSecond].
 * It may send [admitted] now, or one in [waitMillis]; null if it has no share.
 */
@Serializable
public data class ExplainedLimit(
    public val perSecond: Double,
    public val ageMillis: Long,
    public val sharePerSecond: Double,
    public val admitted: Int,
    public val waitMillis: Long? = null,
)
