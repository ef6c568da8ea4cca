package bergamotwall.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Progress of a request that may run at most once. */
@Serializable
public enum class ReceiptPhase {
    /** Reserved; it may be running. */
    @SerialName("r")
    RESERVED,

    /** Reserved and given up before anything was sent to a target. */
    @SerialName("a")
    ABANDONED,

    /** The target's answer is known. */
    @SerialName("d")
    DONE,

    /** It was sent to a target and the outcome cannot be told. */
    @SerialName("u")
    UNKNOWN,
}

/** Durable record that a request marked non-idempotent was reserved by [node] under [nonce]. */
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
