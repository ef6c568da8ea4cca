package bergamotwall.gateway.forwarding

import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.GatewayState
import bergamotwall.gateway.crashes.CrashGuard
import bergamotwall.gateway.http.ConnectOutcome
import bergamotwall.gateway.http.ResponsePart
import bergamotwall.gateway.http.TargetClient
import bergamotwall.gateway.http.TargetExchange
import bergamotwall.gateway.http.TargetRequest
import bergamotwall.gateway.routes.Route
import bergamotwall.gateway.routes.RouteKind
import bergamotwall.gateway.routes.ServiceShare
import bergamotwall.gateway.targets.ResponseMetadata
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetCall
import bergamotwall.gateway.targets.TargetDependencies
import bergamotwall.gateway.targets.TargetLimits
import bergamotwall.gateway.targets.TargetList
import bergamotwall.gateway.targets.TargetLoads
import bergamotwall.gateway.targets.TargetProtocol
import bergamotwall.model.DataCentre
import bergamotwall.model.NodeId
import bergamotwall.model.RequestId
import bergamotwall.model.ServiceName
import bergamotwall.model.TargetId
import bergamotwall.runtime.Clock
import bergamotwall.runtime.Journal
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import kotlin.random.Random

/** An answer that arrives just as the request is hedged is delivered at once. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class ReadyAnswerIsLostTest {
    @ParameterizedTest(name = "first answer after {0} ms")
    @ValueSource(longs = [50, 250, 499, 500, 501, 600])
    fun `the first answer is delivered when it arrives`(firstMillis: Long) =
        runTest {
            val outcome = forwarder(firstMillis).forward(request, route)
            expectThat(outcome).isA<ForwardOutcome.Completed>()
            expectThat(currentTime).isEqualTo(firstMillis)
        }

    /** Sends to targets of which the one that is tried first answers after [firstMillis], the others much later. */
    private fun TestScope.forwarder(firstMillis: Long): Forwarder {
        val clock =
            object : Clock {
                override fun monotonicMillis(): Long = currentTime

                override fun wallMillis(): Long = currentTime
            }
        val targets = (1..3).map { Target(TargetId("t$it"), service, "t$it:1", DataCentre("x"), 8, draining = false) }
        val state = GatewayState()
        state.targets.update { TargetList(targets.associateBy { it.id }) }
        val loads = TargetLoads()
        val journal = Journal(NodeId("n"), clock)
        val dependencies =
            TargetDependencies(
                gatewayState = state,
                client = SlowTargets(firstMillis),
                protocol = PlainProtocol,
                loads = loads,
                clock = clock,
                random = Random(1),
                journal = journal,
                dataCentre = DataCentre("x"),
                metrics = GatewayMetrics(),
                limits = TargetLimits(NodeId("n"), state, loads, journal),
            )
        return Forwarder(dependencies, CrashGuard.NONE, ForwardLimits())
    }

    private class SlowTargets(private val firstMillis: Long) : TargetClient {
        override suspend fun connect(
            address: String,
            timeoutMillis: Int,
        ): ConnectOutcome = ConnectOutcome.REFUSED

        override fun retire(address: String) = Unit

        override var connectionsOpened = 0L

        override fun send(
            address: String,
            request: TargetRequest,
        ): TargetExchange {
            val delayMillis = if (connectionsOpened++ == 0L) firstMillis else OTHER_MILLIS
            val parts = ArrayDeque(listOf(ResponsePart.Head(200, emptyList()), ResponsePart.End))
            return object : TargetExchange {
                override suspend fun next(): ResponsePart? {
                    if (parts.size == 2) delay(delayMillis)
                    return parts.removeFirstOrNull()
                }

                override fun cancel() = Unit
            }
        }

        override fun close() = Unit
    }

    private object PlainProtocol : TargetProtocol {
        override fun request(
            call: TargetCall,
            target: Target,
        ) = TargetRequest(call.method, call.path, call.headers, call.body)

        override fun read(head: ResponsePart.Head) = ResponseMetadata(false, "s", null, null)

        override fun eventVersion(fields: Map<String, String>): Long? = null
    }

    private companion object {
        private const val OTHER_MILLIS = 5_000L
        private val service = ServiceName("s")
        private val request =
            CallerRequest(RequestId("r"), "GET", "/", emptyList(), ByteArray(0), 0, deadlineAtMillis = 20_000)

        /** Hedges each 250 ms. */
        private val route =
            Route(
                name = "r",
                host = "h",
                pathPrefix = "/",
                kind = RouteKind.IDEMPOTENT,
                timeoutMillis = 20_000,
                targetLatencyMillis = 500,
                priority = 1,
                maxAttempts = 3,
                resumable = false,
                shares = listOf(ServiceShare(service, 1)),
            )
    }
}
