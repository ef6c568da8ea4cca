package bergamotwall.gateway.relays

import bergamotwall.gateway.http.ConnectOutcome
import bergamotwall.gateway.http.TargetClient
import bergamotwall.runtime.Clock
import bergamotwall.runtime.launchSupervised
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

/** Finds out which of the [paths] are lost although nothing tells so, and which are back. Thread-safe. */
internal class PathChecks(
    private val client: TargetClient,
    private val paths: TargetPaths,
    private val clock: Clock,
    private val settings: RelaySettings,
) {
    private val waiting: MutableSet<DirectExchange> = ConcurrentHashMap.newKeySet()

    /** Records that [exchange] waits for a part of its response. Returns the time. */
    fun waits(exchange: DirectExchange): Long {
        val nowMillis = clock.monotonicMillis()
        waiting += exchange
        return nowMillis
    }

    /** Records that [exchange] waits no more. */
    fun ended(exchange: DirectExchange) {
        waiting -= exchange
    }

    /** Starts to check paths in [scope]. */
    fun start(scope: CoroutineScope): Job =
        scope.launchSupervised("paths") {
            var reconnectAtMillis = 0L
            while (true) {
                delay(PERIOD_MILLIS)
                (silentAddresses() + paths.startChecksOfSuspects()).forEach { launch { check(it) } }
                val nowMillis = clock.monotonicMillis()
                if (nowMillis >= reconnectAtMillis) {
                    reconnectAtMillis = nowMillis + settings.reconnectMillis
                    paths.forgetUnused()
                    paths.lost.forEach { launch { reconnect(it) } }
                }
            }
        }

    private fun silentAddresses(): List<String> =
        waiting
            .groupBy({ it.address }, { it.owedSinceMillis })
            .filter { (address, owedSinceMillis) -> paths.startCheck(address, owedSinceMillis.min()) }
            .keys
            .toList()

    /**
     * Finds out whether a silent [address] can be reached. Connections that exist may outlive a path on which new ones
     * are refused; if nothing responds at all, they are lost as well.
     */
    private suspend fun check(address: String) {
        var outcome = ConnectOutcome.NO_RESPONSE
        var attempts = 0
        while (outcome == ConnectOutcome.NO_RESPONSE && attempts++ < settings.connectAttempts) {
            outcome = client.connect(address, settings.connectMillis)
        }
        if (outcome != ConnectOutcome.ESTABLISHED) paths.lost(address, "silent, then $outcome")
        if (outcome == ConnectOutcome.NO_RESPONSE) {
            val oldestMillis = clock.monotonicMillis() - settings.silenceMillis
            waiting.filter { it.address == address && it.owedSinceMillis <= oldestMillis }.forEach { it.pathLost() }
        }
    }

    private suspend fun reconnect(address: String) {
        if (client.connect(address, settings.connectMillis) == ConnectOutcome.ESTABLISHED) paths.restored(address)
    }

    private companion object {
        private const val PERIOD_MILLIS = 100L
    }
}
