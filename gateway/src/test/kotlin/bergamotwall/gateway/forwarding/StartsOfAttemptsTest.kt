package bergamotwall.gateway.forwarding

import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.GatewayState
import bergamotwall.gateway.http.ConnectOutcome
import bergamotwall.gateway.http.ResponsePart
import bergamotwall.gateway.http.TargetClient
import bergamotwall.gateway.http.TargetExchange
import bergamotwall.gateway.http.TargetRequest
import bergamotwall.gateway.routes.Route
import bergamotwall.gateway.routes.RouteKind
import bergamotwall.gateway.targets.ResponseMetadata
import bergamotwall.gateway.targets.SendPurpose
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetCall
import bergamotwall.gateway.targets.TargetDependencies
import bergamotwall.gateway.targets.TargetLimits
import bergamotwall.gateway.targets.TargetLoads
import bergamotwall.gateway.targets.TargetProtocol
import bergamotwall.gateway.usage.RecordedStarts
import bergamotwall.model.DataCentre
import bergamotwall.model.NodeId
import bergamotwall.model.RequestId
import bergamotwall.model.ServiceName
import bergamotwall.model.TargetId
import bergamotwall.runtime.Journal
import bergamotwall.standins.fakes.ManualClock
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.random.Random

/** A run that started is not reported, or a request that never ran is. */
internal class StartsOfAttemptsTest {
    private val clock = ManualClock()

    // A response is its status (+ not run, ? unsigned), then parts: b body, e end, x broken off, n never sent.
    @ParameterizedTest(name = "{0}, {1}, {2}")
    @CsvSource(
        "AT_MOST_ONCE, REQUEST, 200 b e, 1, 0",
        "AT_MOST_ONCE, REQUEST, 500 e, 1, 0",
        "AT_MOST_ONCE, REQUEST, 200 b x, 1, 0",
        "AT_MOST_ONCE, REQUEST, 503+ e, 0, ",
        "AT_MOST_ONCE, REQUEST, 200? b e, 0, ",
        "AT_MOST_ONCE, REQUEST, x, 0, ",
        "AT_MOST_ONCE, REQUEST, n, 0, ",
        "AT_MOST_ONCE, REWARD, 200 b e, 0, ",
        "STREAM, REQUEST, 200 b b e, 1, 700",
        "STREAM, REQUEST, 200 b x, 1, 700",
        "STREAM, REQUEST, 200 x, 0, ",
        "STREAM, REQUEST, 503+ e, 0, ",
    )
    fun `a start is recorded once, when it happened`(
        kind: RouteKind,
        purpose: SendPurpose,
        response: String,
        starts: Int,
        afterMillis: Long?,
    ) = runTest {
        val recorded = RecordedStarts(clock, { "w" })
        val sentAtMillis = clock.monotonicMillis()
        val request =
            CallerRequest(RequestId("r"), "GET", "/", emptyList(), ByteArray(0), 0, Long.MAX_VALUE, purpose = purpose)
        val outcome = AttemptRunner(dependencies(recorded, response), ForwardLimits())
            .run(request, TARGET, Long.MAX_VALUE, route(kind))
        if (outcome is AttemptOutcome.StreamStarted) drain(outcome.exchange)
        val push = recorded.push(NodeId("n"), 1, 0)
        expectThat(push.agesMillis.size).isEqualTo(starts)
        expectThat(push.agesMillis.map { push.sentAtMillis - it - sentAtMillis }.firstOrNull()).isEqualTo(afterMillis)
        // An attempt that has ended keeps no window open.
        expectThat(push.pendingAgeMillis).isEqualTo(0)
    }

    private suspend fun drain(exchange: TargetExchange) {
        while (exchange.next() != null) clock.advance(1)
    }

    private fun dependencies(
        recorded: RecordedStarts,
        response: String,
    ): TargetDependencies {
        val state = GatewayState()
        val loads = TargetLoads()
        val journal = Journal(NodeId("n"), clock)
        return TargetDependencies(
            gatewayState = state,
            client = ScriptedClient(response.split(' ').map { partOf(it) }),
            protocol = ScriptedProtocol,
            loads = loads,
            clock = clock,
            random = Random(1),
            journal = journal,
            dataCentre = DataCentre("x"),
            metrics = GatewayMetrics(),
            limits = TargetLimits(NodeId("n"), state, loads, journal),
            starts = recorded,
        )
    }

    private fun partOf(text: String): ResponsePart =
        when (text) {
            "b" -> ResponsePart.Body("data: x\n\n".toByteArray())
            "e" -> ResponsePart.End
            "x" -> ResponsePart.Broken("broken", mayHaveRun = true)
            "n" -> ResponsePart.Broken("refused", mayHaveRun = false)
            else -> ResponsePart.Head(
                text.take(STATUS_DIGITS).toInt(),
                emptyList()
            ).also { ScriptedProtocol.head = text }
        }

    private fun route(kind: RouteKind) =
        Route(
            name = "r",
            host = "h",
            pathPrefix = "/",
            kind = kind,
            timeoutMillis = 1_000,
            targetLatencyMillis = 500,
            priority = 1,
            maxAttempts = 1,
            resumable = false,
            shares = emptyList(),
        )

    /** Sends [parts], the first 300 ms after the request and each other one 400 ms later. */
    private inner class ScriptedClient(parts: List<ResponsePart>) : TargetClient {
        private val remaining = ArrayDeque(parts)
        private var pauseMillis = FIRST_MILLIS
        override var connectionsOpened = 0L

        override suspend fun connect(
            address: String,
            timeoutMillis: Int,
        ) = ConnectOutcome.REFUSED

        override fun retire(address: String) = Unit

        override fun send(
            address: String,
            request: TargetRequest,
        ) = object : TargetExchange {
            override suspend fun next(): ResponsePart? {
                clock.advance(pauseMillis)
                pauseMillis = NEXT_MILLIS
                return remaining.removeFirstOrNull()
            }

            override fun cancel() = Unit
        }

        override fun close() = Unit
    }

    private object ScriptedProtocol : TargetProtocol {
        var head = ""

        override fun request(
            call: TargetCall,
            target: Target,
        ) = TargetRequest(call.method, call.path, call.headers, call.body)

        override fun read(head: ResponsePart.Head) =
            ResponseMetadata(this.head.endsWith('+'), if (this.head.endsWith('?')) null else "s", null, null)

        override fun eventVersion(fields: Map<String, String>): Long? = null
    }

    private companion object {
        private const val STATUS_DIGITS = 3
        private const val FIRST_MILLIS = 300L
        private const val NEXT_MILLIS = 400L
        private val TARGET = Target(TargetId("t"), ServiceName("s"), "t:1", DataCentre("x"), 8, draining = false)
    }
}
