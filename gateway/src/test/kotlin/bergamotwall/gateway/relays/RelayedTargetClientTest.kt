package bergamotwall.gateway.relays

import bergamotwall.gateway.http.ConnectOutcome
import bergamotwall.gateway.http.Header
import bergamotwall.gateway.http.ResponsePart
import bergamotwall.gateway.http.TargetClient
import bergamotwall.gateway.http.TargetExchange
import bergamotwall.gateway.http.TargetRequest
import bergamotwall.gateway.http.valueOf
import bergamotwall.model.NodeId
import bergamotwall.runtime.Clock
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

@OptIn(ExperimentalCoroutinesApi::class)
internal class RelayedTargetClientTest {
    private val network = Network()

    @ParameterizedTest(name = "target {0}, peers {1}: {2} after {3} peers")
    @CsvSource(
        "ok, ok ok ok, 200, 0",
        "unreachable, ok ok ok, 200, 1",
        "unreachable, not-run ok ok, 200, 2",
        "unreachable, unreachable ok ok, 200, 2",
        // The peer may have passed the request on.
        "unreachable, unknown ok ok, may have run, 1",
        "unreachable, disconnected ok ok, disconnected, 1",
        "unreachable, lost ok ok, may have run, 1",
        "unreachable, not-run not-run not-run, not run, 3",
        // What a target does with a request is the same for all.
        "lost, ok ok ok, may have run, 0",
        "closed, ok ok ok, not run, 0",
    )
    fun `a request is relayed while no target can have received it`(
        target: String,
        peers: String,
        outcome: String,
        tried: Int,
    ) = runTest {
        network.answers[TARGET] = target
        val client = client()
        val order = network.orderOfPeers(client, this)
        order.zip(peers.split(' ')).forEach { (peer, answer) -> network.answers[peer] = answer }
        network.sent.clear()
        expectThat(describe(client.send(TARGET, request()).next())).isEqualTo(outcome)
        expectThat(network.sent.filter { it != TARGET }).hasSize(tried)
    }

    @ParameterizedTest(name = "target {0}, first peer {1}")
    @CsvSource(
        "begins and ends unreachable, ok",
        "begins and ends closed, ok",
        "unreachable, begins and ends closed",
        "unreachable, begins and ends unreachable",
    )
    fun `a request whose response has begun is not sent again`(
        target: String,
        peer: String,
    ) = runTest {
        val client = client()
        network.answers[TARGET] = "unreachable"
        val (first) = network.orderOfPeers(client, this)
        PEERS.forEach { network.answers[it.address] = "ok" }
        network.answers[TARGET] = target
        network.answers[first] = peer
        val exchange = client.send(TARGET, request())
        expectThat(describe(exchange.next())).isEqualTo("200")
        network.sent.clear()
        expectThat(describe(exchange.next())).isEqualTo("may have run")
        expectThat(network.sent).hasSize(0)
    }

    @Test
    fun `a lost path is not used until a connection is established again`() =
        runTest {
            network.answers[TARGET] = "unreachable"
            val client = client()
            client.start(backgroundScope)
            client.send(TARGET, request()).next()
            network.sent.clear()
            expectThat(describe(client.send(TARGET, request()).next())).isEqualTo("200")
            expectThat(TARGET in network.sent).isFalse()
            expectThat(client.sendDirectly(TARGET, request())).isEqualTo(null)
            network.answers[TARGET] = "ok"
            advanceTimeBy(2 * SETTINGS.reconnectMillis)
            network.sent.clear()
            client.send(TARGET, request()).next()
            expectThat(network.sent.toList()).isEqualTo(listOf(TARGET))
        }

    @Test
    fun `once two paths are lost, the others in use are checked before a request needs them`() =
        runTest {
            val client = client()
            client.start(backgroundScope)
            client.send("third:1", request()).next()
            listOf(TARGET, "second:1").forEach { address ->
                network.answers[address] = "unreachable"
                client.send(address, request()).next()
            }
            network.answers["third:1"] = "unreachable"
            advanceTimeBy(PATIENCE_MILLIS)
            network.sent.clear()
            expectThat(describe(client.send("third:1", request()).next())).isEqualTo("200")
            expectThat("third:1" in network.sent).isFalse()
        }

    @Test
    fun `a peer that is not reached is not used`() =
        runTest {
            network.answers[TARGET] = "unreachable"
            val client = client()
            client.start(backgroundScope)
            val (first) = network.orderOfPeers(client, this)
            PEERS.forEach { network.answers[it.address] = "ok" }
            network.answers[first] = "silent"
            network.connections = ConnectOutcome.NO_RESPONSE
            val part = async { client.send(TARGET, request()).next() }
            delay(PATIENCE_MILLIS)
            expectThat(describe(part.await())).isEqualTo("may have run")
            network.sent.clear()
            expectThat(describe(client.send(TARGET, request()).next())).isEqualTo("200")
            expectThat(first in network.sent).isFalse()
        }

    @Test
    fun `a path that no peer has either is tried directly again`() =
        runTest {
            network.answers[TARGET] = "unreachable"
            PEERS.forEach { network.answers[it.address] = "not-run" }
            val client = client()
            repeat(2) { expectThat(describe(client.send(TARGET, request()).next())).isEqualTo("not run") }
            expectThat(network.sent.count { it == TARGET }).isEqualTo(2)
        }

    @ParameterizedTest(name = "repeatable {0}, connections {1}: ends {2}")
    @CsvSource(
        "true, NO_RESPONSE, true",
        "false, NO_RESPONSE, false",
        // The connection of the request may live on.
        "true, REFUSED, false",
        "true, ESTABLISHED, false",
    )
    fun `a silent request ends early if it may be repeated and nothing responds`(
        repeatable: Boolean,
        connections: ConnectOutcome,
        ends: Boolean,
    ) = runTest {
        network.answers[TARGET] = "silent"
        network.connections = connections
        val client = client()
        client.start(backgroundScope)
        val part = async { client.send(TARGET, request(repeatable)).next() }
        delay(PATIENCE_MILLIS)
        expectThat(part.isCompleted).isEqualTo(ends)
        if (ends) expectThat(describe(part.await())).isEqualTo("may have run")
        expectThat(client.lostPaths > 0).isEqualTo(connections != ConnectOutcome.ESTABLISHED)
        part.cancel()
    }

    @Test
    fun `a relayed request names its target and identity, and keeps its own headers`() =
        runTest {
            network.answers[TARGET] = "unreachable"
            client().send(TARGET, request()).next()
            val relayed = network.requests.last()
            expectThat(relayed.headers.valueOf(RelayHeaders.TARGET)).isEqualTo(TARGET)
            expectThat(relayed.headers.valueOf(RelayHeaders.IDENTITY)).isEqualTo("id")
            expectThat(relayed.headers.valueOf("x")).isEqualTo("y")
            expectThat(relayed.repeatable).isTrue()
        }

    private fun TestScope.client(): RelayedTargetClient {
        val clock =
            object : Clock {
                override fun monotonicMillis(): Long = currentTime

                override fun wallMillis(): Long = currentTime
            }
        return RelayedTargetClient(network, { PEERS }, clock, SETTINGS)
    }

    private fun request(repeatable: Boolean = true) =
        TargetRequest(
            "POST",
            "/",
            listOf(Header("id", "1"), Header("x", "y")),
            ByteArray(0),
            Header("id", "1"),
            repeatable
        )

    private fun describe(part: ResponsePart?): String =
        when (part) {
            is ResponsePart.Head -> part.status.toString()
            is ResponsePart.Broken ->
                if (part.disconnected) "disconnected" else if (part.mayHaveRun) "may have run" else "not run"
            else -> "$part"
        }

    /** Responds for each address as [answers] says. */
    private class Network : TargetClient {
        val answers = HashMap<String, String>()
        val sent = ArrayList<String>()
        val requests = ArrayList<TargetRequest>()
        var connections = ConnectOutcome.REFUSED
        override fun retire(address: String) = Unit

        override val connectionsOpened = 0L

        /** The order in which [client] tries the peers. */
        suspend fun orderOfPeers(
            client: RelayedTargetClient,
            scope: TestScope,
        ): List<String> {
            val target = answers.put(TARGET, "unreachable")
            PEERS.forEach { answers[it.address] = "not-run" }
            client.send(TARGET, TargetRequest("GET", "/", emptyList(), ByteArray(0))).next()
            answers[TARGET] = checkNotNull(target)
            val order = sent.filter { it != TARGET }
            // The client forgets the failures, and the path that it believed to be lost.
            val job = client.start(scope.backgroundScope)
            connections = ConnectOutcome.ESTABLISHED
            delay(2 * SETTINGS.memoryMillis)
            job.cancel()
            connections = ConnectOutcome.REFUSED
            return order
        }

        override fun send(
            address: String,
            request: TargetRequest,
        ): TargetExchange {
            sent += address
            requests += request
            val answer = answers[address] ?: "ok"
            val begins = answer.startsWith(BEGINS)
            val parts = if (begins) listOf("ok", answer.removePrefix(BEGINS)) else listOf(answer)
            return ScriptedExchange(if (answer == "silent") emptyList() else parts.map { partOf(it) })
        }

        override suspend fun connect(
            address: String,
            timeoutMillis: Int,
        ): ConnectOutcome {
            if (connections == ConnectOutcome.NO_RESPONSE) delay(timeoutMillis.toLong())
            return if (answers[address] == "ok") ConnectOutcome.ESTABLISHED else connections
        }

        override fun close() = Unit

        private fun partOf(answer: String): ResponsePart =
            when (answer) {
                "ok" -> ResponsePart.Head(200, emptyList())
                "unreachable" -> ResponsePart.Broken("refused", mayHaveRun = false, unreachable = true)
                "closed" -> ResponsePart.Broken("closed before the request was written", mayHaveRun = false)
                "lost" -> ResponsePart.Broken("reset", mayHaveRun = true)
                else -> ResponsePart.Head(502, listOf(Header(RelayHeaders.OUTCOME, answer)))
            }
    }

    private class ScriptedExchange(parts: List<ResponsePart>) : TargetExchange {
        private val first = CompletableDeferred<ResponsePart?>()
        private val rest = ArrayDeque(parts.drop(1))
        private var begun = false

        init {
            parts.firstOrNull()?.let { first.complete(it) }
        }

        override suspend fun next(): ResponsePart? =
            if (begun && rest.isNotEmpty()) rest.removeFirst() else first.await().also { begun = true }

        override fun cancel() {
            first.complete(ResponsePart.Broken("cancelled", mayHaveRun = true))
        }
    }

    private companion object {
        private const val TARGET = "target:1"
        private const val BEGINS = "begins and ends "
        private const val PATIENCE_MILLIS = 5_000L
        private val SETTINGS = RelaySettings()
        private val PEERS = (1..3).map { RelayPeer(NodeId("p$it"), "p$it:1") }
    }
}
