package bergamotwall.peers

import bergamotwall.model.PeerMessage

/** Answers messages of other processes. Called by several coroutines at once. */
public fun interface PeerHandler {
    /** Answer to [message]; [trace] is the sender's W3C `traceparent`, if it sent one. */
    public suspend fun answer(
        message: PeerMessage,
        trace: String?,
    ): PeerMessage
}
