package bergamotwall.peers

import bergamotwall.model.PeerMessage
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Frame between two processes. A response carries the [id] of its request; [trace] is a W3C `traceparent`. */
@Serializable
internal data class Envelope(
    @SerialName("i") val id: Long,
    @SerialName("a") val isResponse: Boolean,
    @SerialName("t") val trace: String? = null,
    @SerialName("b") val body: PeerMessage,
)

/** An [Envelope] without its body, which another build may have written in a form that this one does not know. */
@Serializable
internal data class EnvelopeHead(
    @SerialName("i") val id: Long,
    @SerialName("a") val isResponse: Boolean,
)
