package bergamotwall.gateway.forwarding

import bergamotwall.gateway.http.Header
import bergamotwall.gateway.targets.SendPurpose
import bergamotwall.gateway.workspaces.KeyCheck
import bergamotwall.model.RequestId
import bergamotwall.model.WorkspaceName

/**
 * A request that is to be forwarded: a caller's, or the reward call of an item, as [purpose] tells. [headers] are those
 * that are forwarded to the target. [resume] is set if the caller resumes a stream.
 * [workspace] is the one for which it is sent, null if there is none; [removesKey] is as in
 * [bergamotwall.gateway.targets.TargetCall]. [keyCheck] is asked again before each send.
 * [arrivedAtMillis] and [deadlineAtMillis] are on the monotonic clock.
 */
public data class CallerRequest(
    public val id: RequestId,
    public val method: String,
    public val path: String,
    public val headers: List<Header>,
    public val body: ByteArray,
    public val arrivedAtMillis: Long,
    public val deadlineAtMillis: Long,
    public val resume: StreamResume? = null,
    public val purpose: SendPurpose = SendPurpose.REQUEST,
    public val workspace: WorkspaceName? = null,
    public val removesKey: Boolean = workspace != null,
    public val keyCheck: KeyCheck = KeyCheck.NONE,
)
