package bergamotwall.entry

import bergamotwall.decisions.batches.ReceiptDecision
import bergamotwall.decisions.batches.decideReceipt
import bergamotwall.decisions.hashOf
import bergamotwall.model.CompleteReceipt
import bergamotwall.model.Fingerprint
import bergamotwall.model.Member
import bergamotwall.model.MemberState
import bergamotwall.model.PeerMessage
import bergamotwall.model.PeerRefusal
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.QueryReceipt
import bergamotwall.model.Receipt
import bergamotwall.model.ReceiptPhase
import bergamotwall.model.ReceiptState
import bergamotwall.model.ReserveReceipt
import bergamotwall.runtime.Node
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import kotlin.math.absoluteValue

/**
 * One attempt at a request that may run at most once. [key] is the same for all attempts at the request, [fingerprint]
 * identifies its content, and [nonce] is unique to the attempt.
 */
internal data class Attempt(val key: String, val fingerprint: Fingerprint, val nonce: String)

/** Receipts of requests that may run at most once: reserved before dispatch, completed after the response. */
internal class Receipts(
    private val node: Node,
    private val fleet: FleetView,
    private val writer: ReceiptWriter,
) {
    private val phaseByNonce = ConcurrentHashMap<String, ReceiptPhase>()
    private val compareAndSwap = ReceiptCompareAndSwap(node.store)

    /** Reserves the receipt for [attempt] and decides how to proceed. A failure means that the attempt did not run. */
    suspend fun reserve(attempt: Attempt): Result<ReceiptDecision, Problem> {
        phaseByNonce[attempt.nonce] = ReceiptPhase.RESERVED
        val message = ReserveReceipt(attempt.key, attempt.fingerprint, attempt.nonce, node.id)
        val response = forwardToOwner(attempt.key, message) ?: handle(message)
        val existing = (response as? ReceiptState)?.receipt
        if (existing == null) {
            abandon(attempt)
            return Err((response as? PeerRefusal)?.problem ?: receiptNotStored)
        }
        return Ok(resolve(attempt, decideReceipt(existing, attempt.fingerprint, attempt.nonce)))
    }

    /** Records the outcome of [attempt]. Returns when it is durable or the key-value service could not be reached. */
    suspend fun complete(
        attempt: Attempt,
        receipt: Receipt,
    ) {
        phaseByNonce[attempt.nonce] = receipt.phase
        val response = forwardToOwner(attempt.key, CompleteReceipt(attempt.key, attempt.nonce, receipt))
        if (response !is ReceiptState) writer.replace(attempt.key, receipt)
    }

    /** Abandons the reservation of [attempt], which must not be dispatched after this. */
    fun abandon(attempt: Attempt) {
        phaseByNonce[attempt.nonce] = ReceiptPhase.ABANDONED
        node.scope.launch { compareAndSwap.swap(attempt.key, attempt.nonce, receipt(ReceiptPhase.ABANDONED, attempt)) }
    }

    /** A receipt for [attempt] with this node as its holder. */
    fun receipt(
        phase: ReceiptPhase,
        attempt: Attempt,
    ): Receipt = Receipt(phase, attempt.nonce, node.id, attempt.fingerprint)

    /** Handles a peer's message to this node as the writer of a receipt shard or as the holder of a reservation. */
    suspend fun handle(message: PeerMessage): PeerMessage =
        when (message) {
            is ReserveReceipt -> {
                val receipt = Receipt(ReceiptPhase.RESERVED, message.nonce, message.node, message.fingerprint)
                writer.reserve(message.key, receipt)
            }
            is CompleteReceipt -> writer.replace(message.key, message.receipt)
            is QueryReceipt -> {
                val phase = phaseByNonce[message.nonce] ?: ReceiptPhase.UNKNOWN
                ReceiptState(Receipt(phase, message.nonce, node.id, Fingerprint(0)), reserved = false)
            }
            else -> Node.notServed(message)
        }

    private suspend fun resolve(
        attempt: Attempt,
        decision: ReceiptDecision,
    ): ReceiptDecision =
        when (decision) {
            is ReceiptDecision.TakeOver -> takeOver(attempt, decision.from)
            is ReceiptDecision.QueryHolder -> queryHolder(attempt, decision.receipt)
            else -> decision
        }

    private suspend fun queryHolder(
        attempt: Attempt,
        existingReceipt: Receipt,
    ): ReceiptDecision {
        val query = QueryReceipt(attempt.key, existingReceipt.nonce)
        val holder =
            node.fleetState.members.read().find { it.id == existingReceipt.node && it.state != MemberState.DEAD }
        val response = if (existingReceipt.node == node.id) handle(query) else holder?.let { exchange(it, query) }
        val abandoned = (response as? ReceiptState)?.receipt?.phase == ReceiptPhase.ABANDONED
        return if (abandoned) takeOver(attempt, existingReceipt) else ReceiptDecision.OutcomeUnknown
    }

    private suspend fun takeOver(
        attempt: Attempt,
        from: Receipt,
    ): ReceiptDecision {
        val swapped = compareAndSwap.swap(attempt.key, from.nonce, receipt(ReceiptPhase.RESERVED, attempt))
        return if (swapped) ReceiptDecision.Dispatch else ReceiptDecision.OutcomeUnknown
    }

    /** The response of the entry that writes the key's receipt shard; null if that is this node or did not respond. */
    private suspend fun forwardToOwner(
        key: String,
        message: PeerMessage,
    ): PeerMessage? {
        val owner = fleet.owner("receipts#${hashOf(key).absoluteValue % SHARDS}")
        return owner?.takeIf { it.id != node.id }?.let { exchange(it, message) }
    }

    private suspend fun exchange(
        member: Member,
        message: PeerMessage,
    ): PeerMessage? = node.peers.sendRequest(member.peerAddress, message, PEER_TIMEOUT_MILLIS).get()

    private companion object {
        private const val SHARDS = 16L
        private const val PEER_TIMEOUT_MILLIS = 3_000L
        private const val RETRY_AFTER_MILLIS = 1_000L
        private val receiptNotStored =
            Problem(ProblemKind.UNAVAILABLE, "no receipt could be kept", retryAfterMillis = RETRY_AFTER_MILLIS)
    }
}
