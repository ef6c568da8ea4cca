package bergamotwall.gateway.crashes

import bergamotwall.model.Fingerprint
import bergamotwall.model.RequestId

/** A request whose run was interrupted [afterMillis] after it was sent, as far as operators need to know it. */
public data class InterruptedRequest(
    val id: RequestId,
    val route: String,
    val path: String,
    val content: Fingerprint,
    val reason: String,
    val afterMillis: Long,
)
