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
 * Which way calls to the key-value service go: directly while that works, else through another process, and directly
 * again if that fails too. Safe for many threads.
 */
internal class RelayPath(
    self: NodeId,
    members: () -> MemberList,
    peers: PeerClient,
    private val clock: Clock,
    random: Random,
) {
    private val relays = Relays(self, members, peers, clock, random)
    private val relayUntilMillis = AtomicLong(DIRECT)
    private val failures = MutableStateFlow(0)
    private val noRelayUntilMillis = AtomicLong(DIRECT)

    /** Whether the next call goes directly. */
    fun directFirst(): Boolean {
        val nowMillis = clock.monotonicMillis()
        return nowMillis >= relayUntilMillis.get() || nowMillis < noRelayUntilMillis.get()
    }

    /** Whether the last direct call failed, and relays have not failed since. */
    val doubtful: Boolean
        get() = relayUntilMillis.get() != DIRECT && clock.monotonicMillis() >= noRelayUntilMillis.get()

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

    /**
     * Sends [message] through another process, which may take [waitMillis] longer than usual; through several if it is
     * [repeatable].
     */
    suspend fun ask(
        message: PeerMessage,
        waitMillis: Long,
        repeatable: Boolean,
    ): Result<PeerMessage, RelayFailure> {
        val timeoutMillis = waitMillis + TIMEOUT_MILLIS
        // A call that waits by itself says nothing by being slow, and must not wait for one relay after another.
        val answer =
            if (waitMillis > 0) {
                relays.ask(message, timeoutMillis, repeatable = false)
            } else {
                relays.ask(message, timeoutMillis, repeatable)
            }
        return answer.onFailure { noRelayUntilMillis.set(clock.monotonicMillis() + RELAY_MILLIS) }
    }

    private companion object {
        private const val DIRECT = Long.MIN_VALUE

        /** How long one way is kept after the other failed: one failed call a second shows when it works again. */
        private const val RELAY_MILLIS = 1_000L

        /** The relay's own call ends before, so that its failure is heard. */
        private const val TIMEOUT_MILLIS = 800L
    }
}
