package bergamotwall.gateway.targets

import bergamotwall.gateway.http.Header
import bergamotwall.gateway.http.ResponsePart
import bergamotwall.gateway.http.TargetRequest
import bergamotwall.model.WorkspaceName

/** Encodes requests to targets and decodes the heads of their responses; implemented per platform. */
public interface TargetProtocol {
    /**
     * Encodes [call] for [target]. Another target that has taken over the address refuses the request without running
     * it.
     */
    public fun request(
        call: TargetCall,
        target: Target,
    ): TargetRequest

    /** Decodes the metadata in [head]. */
    public fun read(head: ResponsePart.Head): ResponseMetadata

    /** Weight version, if stated, that generated the event with these extra [fields] and the events after it. */
    public fun eventVersion(fields: Map<String, String>): Long?
}

/**
 * A request to a target. [deadlineMillis] is the time that it may still take, or null for no limit. [resumeAfter] is
 * the id of the last event received; the response continues after it. [repeatable]: the request may run more than once.
 * The sender gives up if nothing arrives for [maxSilenceMillis]. [workspace] is the one for which the request is sent,
 * null if there is none. [removesKey]: fields of [headers] that may hold a caller's key or name a workspace are left
 * out.
 */
public data class TargetCall(
    public val requestId: String,
    public val method: String,
    public val path: String,
    public val headers: List<Header>,
    public val body: ByteArray,
    public val deadlineMillis: Long?,
    public val resumeAfter: Long? = null,
    public val repeatable: Boolean = false,
    public val maxSilenceMillis: Long? = deadlineMillis,
    public val workspace: WorkspaceName? = null,
    public val removesKey: Boolean = workspace != null,
)

/**
 * Metadata in the head of a response. [notRun]: the target did not run the request. [signature]: the target's signature
 * of the response; null if it is not signed by a target. [version]: for engines, the version of the weights that
 * generate the text. [full]: the target has no free slot at present, or is loading weights. [limitPerSecond]: the
 * number of requests a second that the target takes from all processes together; null if it names none. [leaving]: the
 * target is leaving and should get no further requests. [unreadableLoad]: its load report if that can't be read.
 */
public data class ResponseMetadata(
    val notRun: Boolean,
    val signature: String?,
    val load: ReportedLoad?,
    val version: Long?,
    val full: Boolean = false,
    val limitPerSecond: Double? = null,
    val leaving: Boolean = false,
    val unreadableLoad: String? = null,
) {
    /** Whether the response is signed by a target. */
    val signed: Boolean get() = signature != null
}
