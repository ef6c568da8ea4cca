package bergamotwall.entry

import bergamotwall.decisions.admission.backoffMillis
import bergamotwall.model.DispatchRequest
import bergamotwall.model.Member
import bergamotwall.model.PeerMessage
import bergamotwall.model.PeerRefusal
import bergamotwall.model.PermitGranted
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.RequestId
import bergamotwall.model.RunFinished
import bergamotwall.model.WithdrawRequest
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

/**
 * Acquires each permit from the entry that owns the dispatch shard, which may be this one, and returns it to the entry
 * that granted it.
 */
internal class ShardedPermitSource(
    private val node: Node,
    private val fleet: FleetView,
    private val dispatchCoordinator: DispatchCoordinator,
) : PermitSource {
    private val grantedBy = ConcurrentHashMap<RequestId, Member>()

    override suspend fun acquire(
        request: DispatchRequest,
        trace: String?,
    ): Result<PermitGranted, Problem> {
        val deadlineMillis = node.clock.monotonicMillis() + request.deadlineInMillis
        var attempt = 0
        var result: Result<PermitGranted, Problem>? = null
        while (result == null) {
            val leftMillis = deadlineMillis - node.clock.monotonicMillis()
            val response =
                if (leftMillis > 0) acquireOnce(request.copy(deadlineInMillis = leftMillis), trace) else expired
            result =
                when (response) {
                    is PermitGranted -> Ok(response)
                    is PeerRefusal -> Err(response.problem)
                    else -> null
                }
            if (result == null) delay(backoffMillis(attempt++, node.random))
        }
        return result
    }

    override fun finish(finished: RunFinished) {
        val owner = grantedBy.remove(finished.request)
        node.scope.launch {
            if (owner == null) {
                dispatchCoordinator.finished(finished)
            } else {
                node.peers.sendRequest(owner.peerAddress, finished, NOTIFY_TIMEOUT_MILLIS)
            }
        }
    }

    /**
     * Requests a permit from the owner of the shard; null if it did not respond. If the calling coroutine is cancelled,
     * the request is withdrawn.
     */
    private suspend fun acquireOnce(
        request: DispatchRequest,
        trace: String?,
    ): PeerMessage? {
        val owner = ownerOf(request.serves, request.prefix)
        if (owner == null || owner.id == node.id) return dispatchCoordinator.dispatch(request)
        var callReturned = false
        try {
            val response = node.peers.sendRequest(owner.peerAddress, request, request.deadlineInMillis, trace).get()
            callReturned = true
            if (response is PermitGranted) grantedBy[request.id] = owner
            return response
        } finally {
            if (!callReturned) withContext(NonCancellable) { withdraw(request, owner.peerAddress) }
        }
    }

    private fun withdraw(
        request: DispatchRequest,
        address: String,
    ) {
        node.scope.launch { node.peers.sendRequest(address, WithdrawRequest(request.id), NOTIFY_TIMEOUT_MILLIS) }
    }

    private fun ownerOf(
        serves: String,
        prefix: Long,
    ) = fleet.shardFor(serves, prefix)?.let { fleet.owner(it) }

    private companion object {
        private const val NOTIFY_TIMEOUT_MILLIS = 2_000L
        private val expired =
            PeerRefusal(Problem(ProblemKind.DEADLINE, "the deadline passed before a permit was granted"))
    }
}
