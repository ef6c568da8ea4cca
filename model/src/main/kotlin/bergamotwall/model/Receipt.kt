package bergamotwall.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Progress of a request that must run at most once. */
@Serializable
public enum class ReceiptPhase {
    /** Reserved; the request may be running. */
    @SerialName("r")
    RESERVED,

    /** Reserved, then abandoned before anything was sent to a target. */
    @SerialName("a")
    ABANDONED,

    /** The target's response is known. */
    @SerialName("d")
    DONE,

    /** The request was sent to a target and its outcome is unknown. */
    @SerialName("u")
    UNKNOWN,
}

/** Durable record that [node] reserved a non-idempotent request under [nonce], with the response once it is known. */
@Serializable
public data class Receipt(
    val phase: ReceiptPhase,
    val nonce: String,
    val node: NodeId,
    val fingerprint: Fingerprint,
    val status: Int = 0,
    val contentType: String = "",
    val body: String = "",
)
