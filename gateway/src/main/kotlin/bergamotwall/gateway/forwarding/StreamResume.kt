package bergamotwall.gateway.forwarding

import bergamotwall.model.RequestId

/**
 * A caller's request to continue a stream after event [lastEventId]. [first] is the request that began the stream; null
 * if the caller does not name it.
 */
public data class StreamResume(public val lastEventId: Long, public val first: RequestId?)
