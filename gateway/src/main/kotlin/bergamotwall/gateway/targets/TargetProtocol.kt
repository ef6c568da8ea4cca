package bergamotwall.gateway.targets

import bergamotwall.gateway.http.AnswerPart
import bergamotwall.gateway.http.Header
import bergamotwall.gateway.http.TargetRequest

/** How requests are put to targets and what their answers state; differs by platform. */
public interface TargetProtocol {
    /** [call] as it goes to [target]; a target that is not [target] any more refuses it unrun. */
    public fun request(
        call: TargetCall,
        target: Target,
    ): TargetRequest

    /** What [head] states. */
    public fun read(head: AnswerPart.Head): AnswerFacts

    /** Version that made the event with these extra [fields] and all that follow, if it says so. */
    public fun eventVersion(fields: Map<String, String>): Long?
}

/**
 * One call to a target. [deadlineMillis] is the time it may still take, null if the target sets none;
 * [resumeAfter] is the id of the last event held.
 */
public data class TargetCall(
    public val requestId: String,
    public val method: String,
    public val path: String,
    public val headers: List<Header>,
    public val body: ByteArray,
    public val deadlineMillis: Long?,
    public val resumeAfter: Long? = null,
)

/**
 * What the head of an answer states. [notRun]: the target did not run the request. [genuine]: the answer is signed by a
 * target. [version]: weights that make the text, for engines. [full]: it has no slot free now, or loads weights.
 */
public data class AnswerFacts(
    val notRun: Boolean,
    val genuine: Boolean,
    val load: ReportedLoad?,
    val version: Long?,
    val full: Boolean = false,
)
