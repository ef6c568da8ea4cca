package bergamotwall.decisions.batches

import bergamotwall.model.Fingerprint
import bergamotwall.model.Receipt
import bergamotwall.model.ReceiptPhase

/** How to handle a request whose receipt was reserved or read. */
public sealed interface ReceiptDecision {
    /** The receipt was reserved by this attempt: dispatch the request, once. */
    public data object Dispatch : ReceiptDecision

    /** Take over a reservation that was abandoned before dispatch, provided that [from] is still the stored receipt. */
    public data class TakeOver(val from: Receipt) : ReceiptDecision

    /** Respond with the stored response of the earlier run. */
    public data class Replay(val receipt: Receipt) : ReceiptDecision

    /** Query the node that holds the reservation. */
    public data class QueryHolder(val receipt: Receipt) : ReceiptDecision

    /** Respond that the outcome is unknown. */
    public data object OutcomeUnknown : ReceiptDecision

    /** The idempotency key was used before with other content. */
    public data object KeyReused : ReceiptDecision
}

/** Decides by the stored receipt [existing] how to handle a request with [fingerprint] whose attempt has [nonce]. */
public fun decideReceipt(
    existing: Receipt,
    fingerprint: Fingerprint,
    nonce: String,
): ReceiptDecision =
    when {
        existing.fingerprint != fingerprint -> ReceiptDecision.KeyReused
        existing.phase == ReceiptPhase.DONE -> ReceiptDecision.Replay(existing)
        existing.phase == ReceiptPhase.UNKNOWN -> ReceiptDecision.OutcomeUnknown
        existing.phase == ReceiptPhase.ABANDONED -> ReceiptDecision.TakeOver(existing)
        existing.nonce == nonce -> ReceiptDecision.Dispatch
        else -> ReceiptDecision.QueryHolder(existing)
    }
