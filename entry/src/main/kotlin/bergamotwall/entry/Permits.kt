package bergamotwall.entry

import bergamotwall.decisions.backoffMillis
import bergamotwall.model.Finished
import bergamotwall.model.Granted
import bergamotwall.model.Member
import bergamotwall.model.Offer
import bergamotwall.model.PeerMessage
import bergamotwall.model.PeerRefusal
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.RequestId
import bergamotwall.model.Withdraw
import bergamotwall.runtime.Node
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.util.concurrent.ConcurrentHashMap

/** Gets permits from the owner of the shard, wherever that is; each returns to the entry that granted it. */
internal class Permits(
    private val node: Node,
    private val fleet: FleetView,
    private val hub: DispatchHub,
) : PermitSource {
    private val grantedBy = ConcurrentHashMap<RequestId, Member>()

    override suspend fun acquire(
        offer: Offer,
        trace: String?,
    ): Result<Granted, Problem> {
        val deadlineMillis = node.clock.monotonicMillis() + offer.deadlineInMillis
        var attempt = 0
        var result: Result<Granted, Problem>? = null
        while (result == null) {
            val leftMillis = deadlineMillis - node.clock.monotonicMillis()
            val answer = if (leftMillis > 0) ask(offer.copy(deadlineInMillis = leftMillis), trace) else tooLate
            result =
                when (answer) {
                    is Granted -> Ok(answer)
                    is PeerRefusal -> Err(answer.problem)
                    else -> null
                }
            if (result == null) delay(backoffMillis(attempt++, node.random))
        }
        return result
    }

    override fun finish(finished: Finished) {
        val owner = grantedBy.remove(finished.request)
        node.scope.launch {
            if (owner == null) {
                hub.finished(
                    finished
                )
            } else {
                node.peers.ask(owner.peerAddress, finished, TELL_TIMEOUT_MILLIS)
            }
        }
    }

    private suspend fun ask(
        offer: Offer,
        trace: String?,
    ): PeerMessage? {
        val owner = ownerOf(offer.serves, offer.prefix)
        if (owner == null || owner.id == node.id) return hub.offer(offer)
        var answered = false
        try {
            val answer = node.peers.ask(owner.peerAddress, offer, offer.deadlineInMillis, trace).get()
            answered = true
            if (answer is Granted) grantedBy[offer.request] = owner
            return answer
        } finally {
            if (!answered) withContext(NonCancellable) { withdraw(offer, owner.peerAddress) }
        }
    }

    private fun withdraw(
        offer: Offer,
        address: String,
    ) {
        node.scope.launch { node.peers.ask(address, Withdraw(offer.request), TELL_TIMEOUT_MILLIS) }
    }

    private fun ownerOf(
        serves: String,
        prefix: Long,
    ) = fleet.shardFor(serves, prefix)?.let { fleet.owner(it) }

    private companion object {
        private const val TELL_TIMEOUT_MILLIS = 2_000L
        private val tooLate = PeerRefusal(Problem(ProblemKind.DEADLINE, "the deadline passed before a permit came"))
    }
}
