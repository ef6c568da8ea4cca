package bergamotwall.decisions

import bergamotwall.model.Fingerprint
import bergamotwall.model.Receipt
import bergamotwall.model.ReceiptPhase

/** What to do with a request whose receipt was looked up. */
public sealed interface ReceiptDecision {
    /** The receipt is this attempt's own: dispatch, once. */
    public data object Dispatch : ReceiptDecision

    /** Take over a reservation that was given up before dispatch, if it is still the one that was read. */
    public data class TakeOver(val from: Receipt) : ReceiptDecision

    /** Answer with what the earlier run answered. */
    public data class Replay(val receipt: Receipt) : ReceiptDecision

    /** Ask the node that holds the reservation. */
    public data class AskHolder(val receipt: Receipt) : ReceiptDecision

    /** Answer that the outcome cannot be told. */
    public data object OutcomeUnknown : ReceiptDecision

    /** The key was used before for another content. */
    public data object KeyReused : ReceiptDecision
}

/** Decides by the receipt [found] for a request with [fingerprint] whose attempt has [nonce]. */
public fun decideReceipt(
    found: Receipt,
    fingerprint: Fingerprint,
    nonce: String,
): ReceiptDecision =
    when {
        found.fingerprint != fingerprint -> ReceiptDecision.KeyReused
        found.phase == ReceiptPhase.DONE -> ReceiptDecision.Replay(found)
        found.phase == ReceiptPhase.UNKNOWN -> ReceiptDecision.OutcomeUnknown
        found.phase == ReceiptPhase.ABANDONED -> ReceiptDecision.TakeOver(found)
        found.nonce == nonce -> ReceiptDecision.Dispatch
        else -> ReceiptDecision.AskHolder(found)
    }
