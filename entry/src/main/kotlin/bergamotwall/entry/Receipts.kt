package bergamotwall.entry

import bergamotwall.decisions.ReceiptDecision
import bergamotwall.decisions.decideReceipt
import bergamotwall.decisions.hashOf
import bergamotwall.model.CompleteReceipt
import bergamotwall.model.Fingerprint
import bergamotwall.model.MemberState
import bergamotwall.model.NodeId
import bergamotwall.model.PeerMessage
import bergamotwall.model.PeerRefusal
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.QueryReceipt
import bergamotwall.model.Receipt
import bergamotwall.model.ReceiptPhase
import bergamotwall.model.ReceiptState
import bergamotwall.model.ReserveReceipt
import bergamotwall.model.Jsons
import bergamotwall.platform.Condition
import bergamotwall.platform.Transaction
import bergamotwall.platform.TransactionOutcome
import bergamotwall.platform.Write
import bergamotwall.runtime.Node
import bergamotwall.runtime.SharedKeys
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import kotlin.math.absoluteValue

/** Receipts as the request path uses them: reserve before dispatch, complete after the answer. */
internal class Receipts(
    private val node: Node,
    private val fleet: FleetView,
    private val writer: ReceiptWriter,
) {
    private val runs = ConcurrentHashMap<String, ReceiptPhase>()

    /** Decides what becomes of a request with [key]; a failure means that it was not run. */
    suspend fun reserve(
        key: String,
        fingerprint: Fingerprint,
        nonce: String,
    ): Result<ReceiptDecision, Problem> {
        runs[nonce] = ReceiptPhase.RESERVED
        val answer = reserveAtOwner(ReserveReceipt(key, fingerprint, nonce, node.id()))
        val found = (answer as? ReceiptState)?.receipt
        if (found == null) {
            abandon(key, fingerprint, nonce)
            return Err((answer as? PeerRefusal)?.problem ?: noReceipt())
        }
        return Ok(resolve(key, decideReceipt(found, fingerprint, nonce), fingerprint, nonce))
    }

    /** Records the outcome of the run under [nonce]; waits until it is durable, or the service cannot be reached. */
    suspend fun complete(
        key: String,
        receipt: Receipt,
    ) {
        runs[receipt.nonce] = receipt.phase
        val message = CompleteReceipt(key, receipt.nonce, receipt)
        val owner = owner(key)
        val answer =
            if (owner == null || owner.id == node.id()) null else node.peers.ask(owner.peerAddress, message, ASK_MILLIS).get()
        if (answer !is ReceiptState) writer.replace(key, receipt)
    }

    /** Gives up the reservation under [nonce]: from here on it will never be dispatched. */
    fun abandon(
        key: String,
        fingerprint: Fingerprint,
        nonce: String,
    ) {
        runs[nonce] = ReceiptPhase.ABANDONED
        node.scope.launch {
            val current = node.store.get(SharedKeys.receipt(key)).get()
            val found = current?.let { Jsons.wire.decodeFromString(Receipt.serializer(), it.value) }
            if (found?.nonce == nonce) swap(key, current.modRevision, receipt(ReceiptPhase.ABANDONED, fingerprint, nonce))
        }
    }

    /** A new receipt of this node. */
    fun receipt(
        phase: ReceiptPhase,
        fingerprint: Fingerprint,
        nonce: String,
    ): Receipt = Receipt(phase, nonce, node.id(), fingerprint)

    suspend fun answer(message: ReserveReceipt): PeerMessage =
        writer.reserve(
            message.key,
            Receipt(ReceiptPhase.RESERVED, message.nonce, message.node, message.fingerprint),
        )

    suspend fun answer(message: CompleteReceipt): PeerMessage = writer.replace(message.key, message.receipt)

    /** What this node knows of the run under the asked nonce; a nonce it does not know is not its own any more. */
    fun answer(message: QueryReceipt): PeerMessage {
        val phase = runs[message.nonce] ?: ReceiptPhase.UNKNOWN
        return ReceiptState(Receipt(phase, message.nonce, node.id(), Fingerprint(0)), reserved = false)
    }

    private suspend fun reserveAtOwner(message: ReserveReceipt): PeerMessage? {
        val owner = owner(message.key)
        if (owner == null || owner.id == node.id()) return answer(message)
        return node.peers.ask(owner.peerAddress, message, ASK_MILLIS).get() ?: answer(message)
    }

    private suspend fun resolve(
        key: String,
        decision: ReceiptDecision,
        fingerprint: Fingerprint,
        nonce: String,
    ): ReceiptDecision =
        when (decision) {
            is ReceiptDecision.TakeOver -> takeOver(key, decision.from, fingerprint, nonce)
            is ReceiptDecision.AskHolder -> askHolder(key, decision.receipt, fingerprint, nonce)
            else -> decision
        }

    private suspend fun askHolder(
        key: String,
        held: Receipt,
        fingerprint: Fingerprint,
        nonce: String,
    ): ReceiptDecision {
        val phase = phaseAt(held.node, key, held.nonce)
        return if (phase == ReceiptPhase.ABANDONED) takeOver(key, held, fingerprint, nonce) else ReceiptDecision.OutcomeUnknown
    }

    private suspend fun phaseAt(
        holder: NodeId,
        key: String,
        nonce: String,
    ): ReceiptPhase? {
        if (holder == node.id()) return runs[nonce]
        val member = node.board.members.read().find { it.id == holder && it.state != MemberState.DEAD } ?: return null
        val answer = node.peers.ask(member.peerAddress, QueryReceipt(key, nonce), ASK_MILLIS).get()
        return (answer as? ReceiptState)?.receipt?.phase
    }

    private suspend fun takeOver(
        key: String,
        from: Receipt,
        fingerprint: Fingerprint,
        nonce: String,
    ): ReceiptDecision {
        val current = node.store.get(SharedKeys.receipt(key)).get() ?: return ReceiptDecision.OutcomeUnknown
        val found = Jsons.wire.decodeFromString(Receipt.serializer(), current.value)
        if (found.nonce != from.nonce) return ReceiptDecision.OutcomeUnknown
        val taken = swap(key, current.modRevision, receipt(ReceiptPhase.RESERVED, fingerprint, nonce))
        return if (taken) ReceiptDecision.Dispatch else ReceiptDecision.OutcomeUnknown
    }

    private suspend fun swap(
        key: String,
        modRevision: Long,
        receipt: Receipt,
    ): Boolean {
        val name = SharedKeys.receipt(key)
        val value = Jsons.wire.encodeToString(Receipt.serializer(), receipt)
        val lease = node.store.grantLease(TAKEN_OVER_SECONDS).get() ?: return false
        val transaction = Transaction(listOf(Condition.Unchanged(name, modRevision)), listOf(Write.Put(name, value, lease)))
        val outcome = node.store.commit(transaction).get()
        if (outcome != null) return outcome is TransactionOutcome.Committed
        return node.store.get(name).get()?.value == value
    }

    private fun owner(key: String) = fleet.owner("receipts#${hashOf(key).absoluteValue % SHARDS}")

    private fun noReceipt(): Problem =
        Problem(ProblemKind.UNAVAILABLE, "no receipt could be kept", retryAfterMillis = RETRY_AFTER_MILLIS)

    private companion object {
        private const val SHARDS = 16L
        private const val ASK_MILLIS = 3_000L
        private const val RETRY_AFTER_MILLIS = 1_000L
        private const val TAKEN_OVER_SECONDS = 3_600L
    }
}
