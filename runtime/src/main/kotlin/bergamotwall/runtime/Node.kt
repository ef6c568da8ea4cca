package bergamotwall.runtime

import bergamotwall.drivers.KeyValueStore
import bergamotwall.model.ExplainQuery
import bergamotwall.model.Explanation
import bergamotwall.model.IndirectProbe
import bergamotwall.model.Member
import bergamotwall.model.MemberState
import bergamotwall.model.NodeId
import bergamotwall.model.NodeRole
import bergamotwall.model.PeerMessage
import bergamotwall.model.PeerRefusal
import bergamotwall.model.Probe
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.PullDocuments
import bergamotwall.model.Settings
import bergamotwall.peers.PeerClient
import bergamotwall.peers.PeerHandler
import bergamotwall.peers.PeerServer
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServerBuilder
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.tinylog.Logger
import java.net.InetSocketAddress
import java.time.Duration
import kotlin.random.Random

/** What is common to all processes of the fleet: blackboard, membership, documents, HTTP, metrics, traces, journal. */
public class Node(
    public val settings: Settings,
    public val role: NodeRole,
    drivers: NodeDrivers = systemDrivers(settings),
) {
    /** Identity of the process. */
    public val id: NodeId get() = settings.id

    /** Clock of the process. */
    public val clock: Clock = drivers.clock

    /** Scope of all background work; ends with the process. */
    public val scope: CoroutineScope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    /** Random source of the process. */
    public val random: Random = Random(settings.randomSeed xor settings.id.value.hashCode().toLong())

    /** Metrics of the process. */
    public val metrics: Metrics = Metrics()

    /** Journal of the process. */
    public val journal: Journal = Journal(settings.id, clock)

    /** Traces of the process. */
    public val tracing: Tracing = Tracing(settings.id.value, settings.traceEndpoint)

    /** What the process knows of the fleet. */
    public val board: Blackboard = Blackboard()

    /** Writer of the spread documents. */
    public val keeper: DocumentKeeper = DocumentKeeper(board, journal)

    /** Client to the other processes. */
    public val peers: PeerClient = drivers.peers

    /** The platform's key-value service. */
    public val store: KeyValueStore = CountedKeyValueStore(drivers.store, metrics)

    /** Reader of what is shared through the key-value service. */
    public val shared: SharedReader = SharedReader(store, keeper)

    private val loop =
        MemberLoop(
            self = selfOf(settings, role, clock.wallMillis()),
            seeds = settings.seeds,
            periodMillis = settings.probePeriodMillis,
            parts = MemberLoopParts(board, keeper, journal, peers, clock),
            random = random,
        )
    private var peerServer: PeerServer? = null
    private var httpServer: Server? = null

    /** Bytes sent to other processes so far. */
    public val bytesSent: Long get() = peers.bytesSent + (peerServer?.bytesSent ?: 0)

    /** Starts everything: peers answered by [handler] where the node itself does not, HTTP routes by [routes]. */
    public fun start(
        handler: PeerHandler,
        routes: (ServerBuilder) -> Unit,
    ) {
        peerServer =
            PeerServer(settings.peerAddress) { message, trace -> answer(message) ?: handler.answer(message, trace) }
        loop.start(scope)
        scope.launch { shared.readAll() }
        httpServer = httpServer(routes).also { it.start().join() }
        Logger.info("event=started http={} peer={}", settings.httpAddress, settings.peerAddress)
    }

    /**
     * Stops gracefully: announces the leave, serves on until every address answer that named this process has run out,
     * lets requests in flight finish, then ends.
     */
    public fun stop() {
        Logger.info("event={}", "leaving")
        runBlocking {
            loop.leave()
            delay(settings.addressTtlMillis + LEAVE_SPREAD_MILLIS)
        }
        halt()
        Logger.info("event={}", "stopped")
    }

    /** Ends the process's work without announcing it; requests in flight finish. */
    public fun halt() {
        httpServer?.stop()?.join()
        scope.cancel()
        peerServer?.close()
        peers.close()
        tracing.close()
    }

    private suspend fun answer(message: PeerMessage): PeerMessage? =
        when (message) {
            is Probe -> loop.answer(message)
            is IndirectProbe -> loop.answer(message)
            is PullDocuments -> keeper.answer(message)
            is ExplainQuery -> Explanation(journal.find(message.subject).takeLast(MAX_EXPLAINED))
            else -> null
        }

    private fun httpServer(routes: (ServerBuilder) -> Unit): Server {
        val host = settings.httpAddress.substringBeforeLast(':')
        val port = settings.httpAddress.substringAfterLast(':').toInt()
        val builder =
            Server
                .builder()
                .http(InetSocketAddress(host, port))
                .maxRequestLength(settings.maxBodyBytes)
                .requestTimeoutMillis(0)
                .gracefulShutdownTimeout(Duration.ofMillis(QUIET_MILLIS), Duration.ofMillis(MAX_DRAIN_MILLIS))
                .withOperations(metrics) { board.configuration.read().revision.value > 0 }
        routes(builder)
        return builder.build()
    }

    /** Bounds of the life of a node. */
    public companion object {
        private const val LEAVE_SPREAD_MILLIS = 1_000L
        private const val QUIET_MILLIS = 500L
        private const val MAX_DRAIN_MILLIS = 900_000L
        private const val MAX_EXPLAINED = 200

        /** Answer to a message that a process does not serve. */
        public fun notServed(message: PeerMessage): PeerMessage =
            PeerRefusal(Problem(ProblemKind.BAD_REQUEST, "this process does not serve ${message::class.simpleName}"))
    }
}

private fun selfOf(
    settings: Settings,
    role: NodeRole,
    startedAtMillis: Long,
): Member =
    Member(
        id = settings.id,
        role = role,
        dataCentre = settings.dataCentre,
        peerAddress = settings.peerAddress,
        httpAddress = settings.httpAddress,
        incarnation = startedAtMillis,
        state = MemberState.ALIVE,
    )
