package bergamotwall.peers

import bergamotwall.model.PeerMessage

/** Handles requests of other processes. Called concurrently. */
public fun interface PeerHandler {
    /** Returns the response to [message]; [trace] is the sender's W3C `traceparent`, if it sent one. */
    public suspend fun handle(
        message: PeerMessage,
        trace: String?,
    ): PeerMessage
}
