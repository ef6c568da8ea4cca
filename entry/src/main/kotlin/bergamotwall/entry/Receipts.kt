package bergamotwall.entry

import bergamotwall.decisions.ReceiptDecision
import bergamotwall.decisions.decideReceipt
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

/** One attempt at a request that may run at most once: its key, its content, and the [nonce] that tells it apart. */
internal data class Attempt(val key: String, val fingerprint: Fingerprint, val nonce: String)

/** Receipts as the request path uses them: reserve before dispatch, complete after the answer. */
internal class Receipts(
    private val node: Node,
    private val fleet: FleetView,
    private val writer: ReceiptWriter,
) {
    private val runs = ConcurrentHashMap<String, ReceiptPhase>()
    private val takeOver = ReceiptTakeOver(node.store)

    /** Decides what becomes of [attempt]; a failure means that it was not run. */
    suspend fun reserve(attempt: Attempt): Result<ReceiptDecision, Problem> {
        runs[attempt.nonce] = ReceiptPhase.RESERVED
        val message = ReserveReceipt(attempt.key, attempt.fingerprint, attempt.nonce, node.id)
        val answer = atOwner(attempt.key, message) ?: answer(message)
        val found = (answer as? ReceiptState)?.receipt
        if (found == null) {
            abandon(attempt)
            return Err((answer as? PeerRefusal)?.problem ?: noReceipt)
        }
        return Ok(resolve(attempt, decideReceipt(found, attempt.fingerprint, attempt.nonce)))
    }

    /** Records the outcome of [attempt]; waits until it is durable, or the service cannot be reached. */
    suspend fun complete(
        attempt: Attempt,
        receipt: Receipt,
    ) {
        runs[attempt.nonce] = receipt.phase
        val answer = atOwner(attempt.key, CompleteReceipt(attempt.key, attempt.nonce, receipt))
        if (answer !is ReceiptState) writer.replace(attempt.key, receipt)
    }

    /** Gives up the reservation of [attempt]: from here on it will never be dispatched. */
    fun abandon(attempt: Attempt) {
        runs[attempt.nonce] = ReceiptPhase.ABANDONED
        node.scope.launch { takeOver.swap(attempt.key, attempt.nonce, receipt(ReceiptPhase.ABANDONED, attempt)) }
    }

    /** A new receipt of this node. */
    fun receipt(
        phase: ReceiptPhase,
        attempt: Attempt,
    ): Receipt = Receipt(phase, attempt.nonce, node.id, attempt.fingerprint)

    /** Answers a peer that asks this node as the writer of a shard, or as the holder of a reservation. */
    suspend fun answer(message: PeerMessage): PeerMessage =
        when (message) {
            is ReserveReceipt -> {
                val receipt = Receipt(ReceiptPhase.RESERVED, message.nonce, message.node, message.fingerprint)
                writer.reserve(message.key, receipt)
            }
            is CompleteReceipt -> writer.replace(message.key, message.receipt)
            is QueryReceipt -> {
                val phase = runs[message.nonce] ?: ReceiptPhase.UNKNOWN
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
            is ReceiptDecision.AskHolder -> askHolder(attempt, decision.receipt)
            else -> decision
        }

    private suspend fun askHolder(
        attempt: Attempt,
        held: Receipt,
    ): ReceiptDecision {
        val query = QueryReceipt(attempt.key, held.nonce)
        val holder = node.board.members.read().find { it.id == held.node && it.state != MemberState.DEAD }
        val answer = if (held.node == node.id) answer(query) else holder?.let { ask(it, query) }
        val abandoned = (answer as? ReceiptState)?.receipt?.phase == ReceiptPhase.ABANDONED
        return if (abandoned) takeOver(attempt, held) else ReceiptDecision.OutcomeUnknown
    }

    private suspend fun takeOver(
        attempt: Attempt,
        from: Receipt,
    ): ReceiptDecision {
        val taken = takeOver.swap(attempt.key, from.nonce, receipt(ReceiptPhase.RESERVED, attempt))
        return if (taken) ReceiptDecision.Dispatch else ReceiptDecision.OutcomeUnknown
    }

    /** The answer of the entry that writes the key's shard; null if that is this node or does not answer. */
    private suspend fun atOwner(
        key: String,
        message: PeerMessage,
    ): PeerMessage? {
        val owner = fleet.owner("receipts#${hashOf(key).absoluteValue % SHARDS}")
        return owner?.takeIf { it.id != node.id }?.let { ask(it, message) }
    }

    private suspend fun ask(
        member: Member,
        message: PeerMessage,
    ): PeerMessage? = node.peers.ask(member.peerAddress, message, ASK_MILLIS).get()

    private companion object {
        private const val SHARDS = 16L
        private const val ASK_MILLIS = 3_000L
        private const val RETRY_AFTER_MILLIS = 1_000L
        private val noReceipt =
            Problem(ProblemKind.UNAVAILABLE, "no receipt could be kept", retryAfterMillis = RETRY_AFTER_MILLIS)
    }
}
