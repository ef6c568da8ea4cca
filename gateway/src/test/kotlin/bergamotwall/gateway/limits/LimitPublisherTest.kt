package bergamotwall.gateway.limits

import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.GatewayState
import bergamotwall.gateway.http.ConnectOutcome
import bergamotwall.gateway.http.ResponsePart
import bergamotwall.gateway.http.TargetClient
import bergamotwall.gateway.http.TargetExchange
import bergamotwall.gateway.http.TargetRequest
import bergamotwall.gateway.store.GatewayKeys
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
import bergamotwall.model.ServiceName
import bergamotwall.model.TargetId
import bergamotwall.runtime.Journal
import bergamotwall.standins.fakes.ManualClock
import bergamotwall.standins.fakes.MemoryKeyValueStore
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.random.Random

/** Two processes share the limit of one target. */
internal class LimitPublisherTest {
    private val clock = ManualClock()
    private val store = MemoryKeyValueStore(clock)
    private val first = Process("a")
    private val second = Process("b")

    @Test
    fun `a process learns the limit of a target to which it has sent nothing, and its end`() =
        runTest {
            first.responded(2.0)
            share()
            expectThat(second.limit()).isEqualTo(2.0)
            first.responded(null)
            share()
            expectThat(second.limit()).isNull()
        }

    @Test
    fun `a process that knows no targets yet ends no limit`() =
        runTest {
            second.register()
            first.responded(2.0)
            share()
            second.watch()
            second.publisher.publish()
            expectThat(stored()).isEqualTo(1)
            expectThat(first.limit()).isEqualTo(2.0)
        }

    @Test
    fun `a target that was gone from the registrations for a moment keeps its limit`() =
        runTest {
            first.responded(2.0)
            share()
            second.register()
            second.register(target)
            share()
            expectThat(second.limit()).isEqualTo(2.0)
            expectThat(stored()).isEqualTo(1)
        }

    @Test
    fun `the limit of a target that stays unregistered is deleted`() =
        runTest {
            first.responded(2.0)
            share()
            listOf(first, second).forEach { it.register() }
            share()
            expectThat(stored()).isEqualTo(1)
            clock.advance(ORPHANED_MILLIS)
            share()
            expectThat(stored()).isEqualTo(0)
        }

    private suspend fun share() {
        listOf(first, second).forEach { it.publisher.publish() }
        listOf(first, second).forEach { it.watch() }
    }

    private suspend fun stored(): Int = store.list(GatewayKeys.LIMITS).getOrElse { error(it.detail) }.entries.size

    private inner class Process(name: String) {
        private val state = GatewayState()
        private val loads = TargetLoads()
        private val journal = Journal(NodeId(name), clock)
        private val dependencies =
            TargetDependencies(
                gatewayState = state,
                client = Unreachable,
                protocol = NoProtocol,
                loads = loads,
                clock = clock,
                random = Random(1),
                journal = journal,
                dataCentre = DataCentre("x"),
                metrics = GatewayMetrics(),
                limits = TargetLimits(NodeId(name), state, loads, journal),
            )
        val publisher = LimitPublisher(store, dependencies)

        init {
            register(target)
        }

        /** Makes [targets] the registered ones. */
        fun register(vararg targets: Target) {
            state.targets.update { TargetList(targets.associateBy { it.id }) }
            loads.retain(targets.map { it.id }.toSet())
        }

        fun responded(perSecond: Double?) {
            clock.advance(1)
            dependencies.responded(
                target,
                ResponseMetadata(
                    notRun = false,
                    signature = "s",
                    load = null,
                    version = null,
                    limitPerSecond = perSecond
                ),
                "r",
                clock.monotonicMillis(),
            )
        }

        suspend fun watch() {
            val listing = store.list(GatewayKeys.LIVE).getOrElse { error(it.detail) }
            publisher.onStoreChanged(listing.entries.associateBy { it.key })
        }

        fun limit(): Double? = loads.of(target.id).limit.perSecond
    }

    private object Unreachable : TargetClient {
        override suspend fun connect(
            address: String,
            timeoutMillis: Int,
        ): ConnectOutcome = ConnectOutcome.REFUSED

        override fun retire(address: String) = Unit

        override val connectionsOpened = 0L

        override fun send(
            address: String,
            request: TargetRequest,
        ): TargetExchange = error("nothing is sent")

        override fun close() = Unit
    }

    private object NoProtocol : TargetProtocol {
        override fun request(
            call: TargetCall,
            target: Target,
        ): TargetRequest = error("nothing is sent")

        override fun read(head: ResponsePart.Head): ResponseMetadata = error("nothing is received")

        override fun eventVersion(fields: Map<String, String>): Long? = null
    }

    private companion object {
        private const val ORPHANED_MILLIS = 10_000L
        private val target = Target(TargetId("t"), ServiceName("s"), "t:1", DataCentre("x"), 6, draining = false)
    }
}
