package bergamotwall.gateway.store

import bergamotwall.gateway.members.MemberList
import bergamotwall.model.NodeId
import bergamotwall.model.PeerMessage
import bergamotwall.peers.PeerClient
import bergamotwall.runtime.Clock
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.selects.select
import org.tinylog.Logger
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/**
 * Decides whether calls to the key-value service are sent directly or relayed through another process: directly while
 * that works, relayed after a direct call failed, and directly again if the relays fail too. Thread-safe.
 */
internal class RelayFailover(
    self: NodeId,
    members: () -> MemberList,
    peers: PeerClient,
    private val clock: Clock,
    random: Random,
) {
    private val relays = Relays(self, members, peers, clock, random)
    private val relayUntilMillis = AtomicLong(NEVER)
    private val directFailures = MutableStateFlow(0)
    private val directRecoveries = MutableStateFlow(0)
    private val noRelayUntilMillis = AtomicLong(NEVER)

    /** Whether the next call should be sent directly first. */
    fun directFirst(): Boolean {
        val nowMillis = clock.monotonicMillis()
        return nowMillis >= relayUntilMillis.get() || nowMillis < noRelayUntilMillis.get()
    }

    /** Whether the last direct call failed and relays have not failed recently. */
    val directSuspect: Boolean
        get() = relayUntilMillis.get() != NEVER && clock.monotonicMillis() >= noRelayUntilMillis.get()

    /** Records that the service responded to a direct call. */
    fun directSucceeded() {
        if (relayUntilMillis.getAndSet(NEVER) == NEVER) return
        Logger.info("event={}", "store_direct")
        directRecoveries.update { it + 1 }
    }

    /** Records that a direct call failed; calls are relayed for [FAILOVER_MILLIS] from now on. */
    fun directFailed() {
        val before = relayUntilMillis.getAndSet(clock.monotonicMillis() + FAILOVER_MILLIS)
        if (before == NEVER) Logger.warn("event={}", "store_relayed")
        directFailures.update { it + 1 }
    }

    /**
     * Runs the long poll [call]. Cancels it and returns null as soon as a direct call shows that another path should be
     * used: if [call] is [direct], when one fails, otherwise when one succeeds again.
     */
    suspend fun <T : Any> cancelOnPathChange(
        direct: Boolean,
        call: suspend () -> T,
    ): T? =
        coroutineScope {
            val transitions = if (direct) directFailures else directRecoveries
            val before = transitions.value
            val response = async { call() }
            val changed = async { transitions.first { it != before } }
            select<T?> {
                response.onAwait { it }
                changed.onAwait { null }
            }.also { coroutineContext.cancelChildren() }
        }

    /**
     * Sends [message] through another process, or through several if it is [retryable]. The relay may take
     * [waitMillis] longer than for a call that returns immediately. A long poll must not be [retryable]: it takes long
     * also on a path that works, which is no reason to send it to another relay.
     */
    suspend fun request(
        message: PeerMessage,
        waitMillis: Long,
        retryable: Boolean,
    ): Result<RelayedResponse, RelayFailure> =
        relays.request(message, waitMillis + TIMEOUT_MILLIS, retryable).onFailure {
            noRelayUntilMillis.set(clock.monotonicMillis() + FAILOVER_MILLIS)
        }

    private companion object {
        private const val NEVER = Long.MIN_VALUE

        /** How long calls avoid a path after it failed: at most one failed call per second until it works again. */
        private const val FAILOVER_MILLIS = 1_000L

        /** Longer than the timeout of the relay's own call, so that the relay can report its failure. */
        private const val TIMEOUT_MILLIS = 800L
    }
}
