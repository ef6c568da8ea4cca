package bergamotwall.gateway.intake

import bergamotwall.drivers.http.MemoryAccount
import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.labelledGauge
import bergamotwall.runtime.Clock
import org.tinylog.Logger
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Counts refusals by server and reason; logs at most one line a second for each, with the number since then. */
internal class Refusals(
    private val clock: Clock,
    private val account: MemoryAccount,
) {
    private class Count {
        val total = AtomicLong()
        val unlogged = AtomicLong()
        val loggedAtMillis = AtomicLong(Long.MIN_VALUE / 2)
    }

    private val counts = ConcurrentHashMap<Pair<IntakeServer, Refusal>, Count>()

    fun record(
        server: IntakeServer,
        refusal: Refusal,
    ) {
        val count = counts.computeIfAbsent(server to refusal) { Count() }
        count.total.incrementAndGet()
        count.unlogged.incrementAndGet()
        val lastMillis = count.loggedAtMillis.get()
        val nowMillis = clock.monotonicMillis()
        if (nowMillis - lastMillis >= PAUSE_MILLIS && count.loggedAtMillis.compareAndSet(lastMillis, nowMillis)) {
            Logger.warn(
                "event=client_refused server={} reason={} count={} heldBytes={}",
                server.name.lowercase(),
                refusal.name.lowercase(),
                count.unlogged.getAndSet(0),
                account.heldBytes,
            )
        }
    }

    fun register(metrics: GatewayMetrics) {
        metrics.labelledGauge("intake_refused", "Clients refused or closed since the start.", "reason") {
            counts.entries.associate { (key, count) ->
                "${key.first.name.lowercase()}_${key.second.name.lowercase()}" to count.total.get()
            }
        }
    }

    private companion object {
        private const val PAUSE_MILLIS = 1_000L
    }
}
