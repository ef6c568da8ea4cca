package bergamotwall.gateway.store

import bergamotwall.gateway.concurrent.PendingResults
import bergamotwall.gateway.members.GatewayMember
import bergamotwall.gateway.members.MemberList
import bergamotwall.model.NodeId
import bergamotwall.model.PeerMessage
import bergamotwall.model.StoreFailure
import bergamotwall.model.StoreFailureKind
import bergamotwall.peers.PeerClient
import bergamotwall.peers.PeerError
import bergamotwall.runtime.Clock
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/** Why no relay returned a result. [mayHaveArrived]: a relay may have sent the call to the service. */
internal data class RelayFailure(val detail: String, val mayHaveArrived: Boolean)

/** The response [message] of the service, relayed by [relay]. */
internal data class RelayedResponse(val message: PeerMessage, val relay: NodeId)

/**
 * Relays calls to the key-value service through other processes. The relay that last succeeded is tried first, those
 * that failed recently are tried last. Thread-safe.
 *
 * A process that can't reach the service often can't reach some of the other processes either. Renewals of a lease
 * can't wait for the timeouts of several of these, so a retryable call is hedged: it is sent to the next relay while
 * the first has not responded yet.
 */
internal class Relays(
    private val self: NodeId,
    private val members: () -> MemberList,
    private val peers: PeerClient,
    private val clock: Clock,
    private val random: Random,
) {
    private val failedAtMillis = ConcurrentHashMap<NodeId, Long>()

    @Volatile
    private var lastSuccessful: NodeId? = null

    /** Sends [message] to a relay, or to several if it is [retryable]; each may take [timeoutMillis]. */
    suspend fun request(
        message: PeerMessage,
        timeoutMillis: Long,
        retryable: Boolean,
        hedgeMillis: Long = HEDGE_MILLIS,
    ): Result<RelayedResponse, RelayFailure> =
        coroutineScope {
            val hedged = HedgedRequest(this, message, timeoutMillis, ArrayDeque(chooseRelays()))
            hedged.awaitResponse(retryable, hedgeMillis).also { coroutineContext.cancelChildren() }
        }

    private fun chooseRelays(): List<GatewayMember> {
        val nowMillis = clock.monotonicMillis()
        val others = members().members.values.filter { it.id != self }.shuffled(random)
        return others
            .sortedBy { failedRecently(it.id, nowMillis) }
            .sortedByDescending { it.id == lastSuccessful && !failedRecently(it.id, nowMillis) }
            .take(MAX_RELAYS)
    }

    private fun failedRecently(
        id: NodeId,
        nowMillis: Long,
    ): Boolean = failedAtMillis[id]?.let { nowMillis - it < FAILURE_MEMORY_MILLIS } ?: false

    private suspend fun requestFrom(
        relay: GatewayMember,
        message: PeerMessage,
        timeoutMillis: Long,
    ): Result<RelayedResponse, RelayFailure> =
        peers.sendRequest(relay.peerAddress, message, timeoutMillis).fold(
            success = { response ->
                if (response is StoreFailure && response.kind == StoreFailureKind.UNAVAILABLE) {
                    recordFailure(relay, RelayFailure(response.detail, response.mayHaveApplied))
                } else {
                    lastSuccessful = relay.id
                    failedAtMillis.remove(relay.id)
                    Ok(RelayedResponse(response, relay.id))
                }
            },
            failure = { recordFailure(relay, RelayFailure(it.detail, it !is PeerError.Unreachable)) },
        )

    private fun recordFailure(
        relay: GatewayMember,
        failure: RelayFailure,
    ): Result<RelayedResponse, RelayFailure> {
        failedAtMillis[relay.id] = clock.monotonicMillis()
        return Err(failure)
    }

    /** A call that is sent to [relays] in turn until one responds. */
    private inner class HedgedRequest(
        private val scope: CoroutineScope,
        private val message: PeerMessage,
        private val timeoutMillis: Long,
        private val relays: ArrayDeque<GatewayMember>,
    ) {
        private val responses = PendingResults<Result<RelayedResponse, RelayFailure>>()

        suspend fun awaitResponse(
            retryable: Boolean,
            hedgeMillis: Long,
        ): Result<RelayedResponse, RelayFailure> {
            var last: Result<RelayedResponse, RelayFailure> = Err(RelayFailure("no other process is registered", false))
            var mayHaveArrived = false
            while (last.isErr && (responses.count > 0 || relays.isNotEmpty())) {
                if (responses.count == 0) requestNext()
                val hedge = retryable && relays.isNotEmpty()
                val response = responses.next(if (hedge) hedgeMillis else Long.MAX_VALUE)
                if (response == null) requestNext()
                last = response ?: last
                mayHaveArrived = mayHaveArrived || response?.fold({ false }, { it.mayHaveArrived }) ?: false
                if (mayHaveArrived && !retryable) relays.clear()
            }
            return last.fold({ Ok(it) }, { Err(it.copy(mayHaveArrived = mayHaveArrived)) })
        }

        private fun requestNext() {
            val relay = relays.removeFirst()
            responses.start(scope) { requestFrom(relay, message, timeoutMillis) }
        }
    }

    private companion object {
        /** Hedging delay: several round trips between data centres and a call to the service rarely take longer. */
        private const val HEDGE_MILLIS = 100L

        /** If half of all processes are cut off, four random relays leave one call in sixteen without a response. */
        private const val MAX_RELAYS = 4

        /**
         * About the time after which a network partition has healed, or the members it cut off are no longer
         * registered.
         */
        private const val FAILURE_MEMORY_MILLIS = 3_000L
    }
}
