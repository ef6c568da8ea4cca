package bergamotwall.gateway.explain

import bergamotwall.gateway.forwarding.StreamResume
import bergamotwall.gateway.routes.Route
import bergamotwall.gateway.workspaces.KeyAccess
import bergamotwall.model.BatchRecord
import com.github.michaelbull.result.Result

/**
 * A request whose routing is to be explained. [keys] are the values of its `Authorization` fields; they appear in no
 * explanation. [aboutBatch]: it reads or ends a batch that was submitted before.
 */
public interface ExplainQuestion {
    public val host: String
    public val method: String
    public val path: String
    public val keys: List<String>
    public val id: String
    public val body: ByteArray
    public val resume: StreamResume?
    public val deadlineMillis: Long?
    public val aboutBatch: Boolean

    /** What makes the request unacceptable on [route], or null if it is acceptable. */
    public fun malformed(route: Route): String?

    /** The body as a submission by a caller with access [granted]. */
    public fun batch(granted: KeyAccess.Granted): Result<BatchRecord, RequestRefusal>
}

/** The response that refuses a request: [status] and the [reason] in its body. */
public data class RequestRefusal(
    public val status: Int,
    public val reason: String,
    public val retryAfterMillis: Long? = null,
)
