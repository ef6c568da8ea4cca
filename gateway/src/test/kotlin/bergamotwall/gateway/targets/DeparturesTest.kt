package bergamotwall.gateway.targets

import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.GatewayState
import bergamotwall.gateway.http.ConnectOutcome
import bergamotwall.gateway.http.TargetClient
import bergamotwall.gateway.http.TargetExchange
import bergamotwall.gateway.http.TargetRequest
import bergamotwall.model.DataCentre
import bergamotwall.model.ServiceName
import bergamotwall.model.TargetId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Events: `ready:N` and `draining:N` register incarnation N, `response:N` is its response, `gone` unregisters all. */
internal class DeparturesTest {
    private val state = GatewayState()
    private val client = RecordingClient()
    private val metrics = GatewayMetrics()
    private val departures = Departures(state, client, metrics)

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "ready:1, 1, 0, 0",
        "ready:1 draining:1, 0, 1, 0",
        "draining:1, 0, 1, 0",
        "ready:1 response:1, 0, 0, 1",
        "ready:1 response:1 response:1, 0, 0, 1",
        // Each departure counts once, by what told it first.
        "ready:1 response:1 draining:1, 0, 0, 1",
        "ready:1 draining:1 response:1, 0, 1, 0",
        "ready:1 draining:1 draining:1, 0, 1, 0",
        "ready:1 response:1 ready:1, 0, 0, 1",
        "ready:1 response:1 gone ready:1, 0, 0, 1",
        "ready:1 response:1 ready:2, 1, 0, 1",
        "ready:1 response:1 ready:2 response:1, 1, 0, 1",
        "ready:1 draining:1 ready:2 draining:2, 0, 2, 0",
    )
    fun `a target is usable until it is found to be leaving, which is counted and closes its connections`(
        events: String,
        usable: Int,
        byRegistration: Int,
        byResponse: Int,
    ) {
        events.split(' ').forEach { apply(it) }
        expectThat(state.targets.read().usable(SERVICE).size).isEqualTo(usable)
        expectThat(count("registration")).isEqualTo(byRegistration)
        expectThat(count("response")).isEqualTo(byResponse)
        expectThat(client.retired.toList()).isEqualTo(List(byRegistration + byResponse) { ADDRESS })
    }

    private fun apply(event: String) {
        val target = target(event.substringAfter(':').toLongOrNull() ?: 0, event.startsWith("draining"))
        when (event.substringBefore(':')) {
            "response" -> departures.announced(target, "r")
            "gone" -> departures.registered(emptyMap(), 0)
            else -> departures.registered(mapOf(target.id to target), 0)
        }
    }

    private fun target(
        startedAtMillis: Long,
        draining: Boolean,
    ) = Target(TargetId("t"), SERVICE, ADDRESS, DataCentre("x"), 1, draining, startedAtMillis = startedAtMillis)

    private fun count(source: String): Int {
        val name = "bergamotwall_gateway_leaving_targets_total{source=\"$source\"} "
        val line = metrics.expose().lines().firstOrNull { it.startsWith(name) }
        return line?.removePrefix(name)?.toDouble()?.toInt() ?: 0
    }

    private class RecordingClient : TargetClient {
        val retired = ArrayList<String>()

        override val connectionsOpened = 0L

        override fun send(
            address: String,
            request: TargetRequest,
        ): TargetExchange = error("nothing is sent")

        override suspend fun connect(
            address: String,
            timeoutMillis: Int,
        ): ConnectOutcome = ConnectOutcome.REFUSED

        override fun retire(address: String) {
            retired += address
        }

        override fun close() = Unit
    }

    private companion object {
        private const val ADDRESS = "127.0.0.1:1"
        private val SERVICE = ServiceName("s")
    }
}
