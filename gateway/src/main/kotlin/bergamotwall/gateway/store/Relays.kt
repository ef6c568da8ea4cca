package bergamotwall.gateway.store

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
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/** Why no relay answered; [mayHaveArrived] if one may have passed the call on. */
internal data class RelayFailure(val detail: String, val mayHaveArrived: Boolean)

/**
 * The other processes as ways to the key-value service. The one that worked last is asked first, those that failed
 * lately last. Safe for many threads.
 *
 * A process that the service turns away is often cut off from some of the others too. Renewals of a lease can't wait
 * for the time-outs of several of these, so that a call that may be repeated is sent to the next one when the first is
 * slow.
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
    private var lastGood: NodeId? = null

    /** Sends [message], to several processes if it is [repeatable]; each may take [timeoutMillis]. */
    suspend fun ask(
        message: PeerMessage,
        timeoutMillis: Long,
        repeatable: Boolean,
        hedgeMillis: Long = HEDGE_MILLIS,
    ): Result<PeerMessage, RelayFailure> =
        coroutineScope {
            val series = Series(this, message, timeoutMillis, ArrayDeque(choose()))
            series.answer(repeatable, hedgeMillis).also { coroutineContext.cancelChildren() }
        }

    private fun choose(): List<GatewayMember> {
        val nowMillis = clock.monotonicMillis()
        val others = members().members.values.filter { it.id != self }.shuffled(random)
        return others
            .sortedBy { failedLately(it.id, nowMillis) }
            .sortedByDescending { it.id == lastGood && !failedLately(it.id, nowMillis) }
            .take(MAX_RELAYS)
    }

    private fun failedLately(
        id: NodeId,
        nowMillis: Long,
    ): Boolean = failedAtMillis[id]?.let { nowMillis - it < FORGIVE_MILLIS } ?: false

    private suspend fun askOne(
        relay: GatewayMember,
        message: PeerMessage,
        timeoutMillis: Long,
    ): Result<PeerMessage, RelayFailure> =
        peers.ask(relay.peerAddress, message, timeoutMillis).fold(
            success = { answer ->
                if (answer is StoreFailure && answer.kind == StoreFailureKind.UNAVAILABLE) {
                    failed(relay, RelayFailure(answer.detail, answer.mayHaveApplied))
                } else {
                    lastGood = relay.id
                    failedAtMillis.remove(relay.id)
                    Ok(answer)
                }
            },
            failure = { failed(relay, RelayFailure(it.detail, it !is PeerError.Unreachable)) },
        )

    private fun failed(
        relay: GatewayMember,
        failure: RelayFailure,
    ): Result<PeerMessage, RelayFailure> {
        failedAtMillis[relay.id] = clock.monotonicMillis()
        return Err(failure)
    }

    /** One call: [relays] are asked in turn until one answers. */
    private inner class Series(
        private val scope: CoroutineScope,
        private val message: PeerMessage,
        private val timeoutMillis: Long,
        private val relays: ArrayDeque<GatewayMember>,
    ) {
        private val answers = Channel<Result<PeerMessage, RelayFailure>>(Channel.UNLIMITED)
        private var open = 0

        suspend fun answer(
            repeatable: Boolean,
            hedgeMillis: Long,
        ): Result<PeerMessage, RelayFailure> {
            var last: Result<PeerMessage, RelayFailure> = Err(RelayFailure("no other process is known", false))
            var mayHaveArrived = false
            while (last.isErr && (open > 0 || relays.isNotEmpty())) {
                if (open == 0) askNext()
                val hedge = repeatable && relays.isNotEmpty()
                val answer = withTimeoutOrNull(if (hedge) hedgeMillis else Long.MAX_VALUE) { answers.receive() }
                if (answer == null) askNext() else open--
                last = answer ?: last
                mayHaveArrived = mayHaveArrived || answer?.fold({ false }, { it.mayHaveArrived }) ?: false
                if (mayHaveArrived && !repeatable) relays.clear()
            }
            return last.fold({ Ok(it) }, { Err(it.copy(mayHaveArrived = mayHaveArrived)) })
        }

        private fun askNext() {
            val relay = relays.removeFirst()
            open++
            scope.launch { answers.send(askOne(relay, message, timeoutMillis)) }
        }
    }

    private companion object {
        /** Several round trips between data centres and a call of the service: longer is unusual. */
        private const val HEDGE_MILLIS = 100L

        /** With half of a fleet cut off, four at random leave one call in sixteen unanswered. */
        private const val MAX_RELAYS = 4

        /** About the time after which a cut is healed or its members are no longer registered. */
        private const val FORGIVE_MILLIS = 3_000L
    }
}
