package bergamotwall.gateway.store

import bergamotwall.gateway.members.GatewayMember
import bergamotwall.gateway.members.MemberList
import bergamotwall.model.NodeId
import bergamotwall.model.PeerMessage
import bergamotwall.peers.PeerClient
import bergamotwall.runtime.Clock
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapError
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
 * Which way calls to the key-value service go: directly while that works, else through another process, and directly
 * again if that fails too. Safe for many threads.
 */
internal class RelayPath(
    private val self: NodeId,
    private val members: () -> MemberList,
    private val peers: PeerClient,
    private val clock: Clock,
    private val random: Random,
) {
    private val relayUntilMillis = AtomicLong(DIRECT)
    private val failures = MutableStateFlow(0)
    private val noRelayUntilMillis = AtomicLong(DIRECT)

    /** Whether the next call goes directly. */
    fun directFirst(): Boolean {
        val nowMillis = clock.monotonicMillis()
        return nowMillis >= relayUntilMillis.get() || nowMillis < noRelayUntilMillis.get()
    }

    /** A direct call was answered. */
    fun directWorks() {
        if (relayUntilMillis.getAndSet(DIRECT) != DIRECT) Logger.info("event={}", "store_direct")
    }

    /** A direct call was not answered: the next ones are relayed for a while. */
    fun directFailed() {
        val before = relayUntilMillis.getAndSet(clock.monotonicMillis() + RELAY_MILLIS)
        if (before == DIRECT) Logger.warn("event={}", "store_relayed")
        failures.update { it + 1 }
    }

    /** Runs [call], a long one, and gives it up with null once another direct call fails. */
    suspend fun <T : Any> untilFailure(call: suspend () -> T): T? =
        coroutineScope {
            val before = failures.value
            val answer = async { call() }
            val failed = async { failures.first { it != before } }
            select<T?> {
                answer.onAwait { it }
                failed.onAwait { null }
            }.also { coroutineContext.cancelChildren() }
        }

    /** A relay does not reach the service either: calls go directly for a while. */
    fun relayFailed() {
        noRelayUntilMillis.set(clock.monotonicMillis() + RELAY_MILLIS)
    }

    /** Sends [message] to another process, which may take [waitMillis] longer than usual. */
    suspend fun ask(
        message: PeerMessage,
        waitMillis: Long,
    ): Result<PeerMessage, String> {
        val relay = choose()
        if (relay == null) {
            relayFailed()
            return Err("no other process is known")
        }
        return peers
            .ask(relay.peerAddress, message, waitMillis + TIMEOUT_MILLIS)
            .mapError {
                relayFailed()
                it.detail
            }
    }

    private fun choose(): GatewayMember? {
        val others = members().members.values.filter { it.id != self }
        return if (others.isEmpty()) null else others.random(random)
    }

    private companion object {
        private const val DIRECT = Long.MIN_VALUE

        /** How long one way is kept after the other failed: one failed call a second shows when it works again. */
        private const val RELAY_MILLIS = 1_000L

        /** The relay's own call ends before, so that its failure is heard. */
        private const val TIMEOUT_MILLIS = 800L
    }
}
