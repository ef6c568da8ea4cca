package bergamotwall.runtime

import bergamotwall.drivers.KeyValueStore
import bergamotwall.model.ExplainQuery
import bergamotwall.model.Explanation
import bergamotwall.model.IndirectProbe
import bergamotwall.model.Member
import bergamotwall.model.MemberState
import bergamotwall.model.NetworkAddress
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
import java.time.Duration
import kotlin.random.Random

/**
 * The parts that all processes of the fleet have in common: fleet state, membership, replicated documents, HTTP server,
 * metrics, traces and journal.
 */
public class Node(
    public val settings: Settings,
    public val role: NodeRole,
    drivers: NodeDrivers = systemDrivers(settings),
) {
    public val id: NodeId get() = settings.id

    public val clock: Clock = drivers.clock

    /** Scope of all background work; cancelled by [halt]. */
    public val scope: CoroutineScope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    /** Random source, seeded from the settings and the id of the process. */
    public val random: Random = Random(settings.randomSeed xor settings.id.value.hashCode().toLong())

    public val metrics: Metrics = Metrics()

    public val journal: Journal = Journal(settings.id, clock)

    public val tracing: Tracing = Tracing(settings.id.value, settings.traceEndpoint)

    /** State of the fleet as this process knows it. */
    public val fleetState: FleetState = FleetState()

    /** Adopts newer revisions of the replicated documents. */
    public val replicator: DocumentReplicator = DocumentReplicator(fleetState, journal)

    /** Client for the other processes of the fleet. */
    public val peers: PeerClient = drivers.peers

    /** Client of the platform's key-value service. */
    public val store: KeyValueStore = CountedKeyValueStore(drivers.store, metrics)

    /** Copies the state that is shared through the key-value service to [fleetState]. */
    public val sharedState: SharedStateReader = SharedStateReader(store, replicator)

    private val membershipLoop =
        MembershipLoop(
            self = ownMember(settings, role, clock.wallMillis()),
            seeds = settings.seeds,
            periodMillis = settings.probePeriodMillis,
            dependencies = MembershipLoopDependencies(fleetState, replicator, journal, peers, clock),
            random = random,
        )
    private var peerServer: PeerServer? = null
    private var httpServer: Server? = null

    /** Bytes sent to other processes so far. */
    public val bytesSent: Long get() = peers.bytesSent + (peerServer?.bytesSent ?: 0)

    /**
     * Starts the peer server, the membership and the HTTP server. [handler] handles the messages of peers that the node
     * does not handle itself; [routes] adds the HTTP routes of the process.
     */
    public fun start(
        handler: PeerHandler,
        routes: (ServerBuilder) -> Unit,
    ) {
        peerServer =
            PeerServer(settings.peerAddress) { message, trace -> handle(message) ?: handler.handle(message, trace) }
        membershipLoop.start(scope)
        scope.launch { sharedState.readAll() }
        httpServer = httpServer(routes).also { it.start().join() }
        Logger.info("event=started http={} peer={}", settings.httpAddress, settings.peerAddress)
    }

    /**
     * Stops gracefully: announces the leave, keeps serving until the address lists that name this process have expired,
     * waits for requests in flight, then stops.
     */
    public fun stop() {
        Logger.info("event={}", "leaving")
        runBlocking {
            membershipLoop.leave()
            delay(settings.addressTtlMillis + LEAVE_PROPAGATION_MILLIS)
        }
        halt()
        Logger.info("event={}", "stopped")
    }

    /** Stops without announcing it to peers; waits for requests in flight. */
    public fun halt() {
        httpServer?.stop()?.join()
        scope.cancel()
        peerServer?.close()
        peers.close()
        tracing.close()
    }

    /** Response to a message that every process handles; null for other messages. */
    private suspend fun handle(message: PeerMessage): PeerMessage? =
        when (message) {
            is Probe -> membershipLoop.handleProbe(message)
            is IndirectProbe -> membershipLoop.handleIndirectProbe(message)
            is PullDocuments -> replicator.newerThan(message)
            is ExplainQuery -> Explanation(journal.find(message.subject).takeLast(MAX_EXPLAINED_EVENTS))
            else -> null
        }

    private fun httpServer(routes: (ServerBuilder) -> Unit): Server {
        val builder =
            Server
                .builder()
                .http(NetworkAddress.of(settings.httpAddress).toSocketAddress())
                .maxRequestLength(settings.maxBodyBytes)
                .requestTimeoutMillis(0)
                .gracefulShutdownTimeout(Duration.ofMillis(QUIET_PERIOD_MILLIS), Duration.ofMillis(MAX_DRAIN_MILLIS))
                .withOperationalRoutes(metrics) { fleetState.configuration.read().revision.value > 0 }
        routes(builder)
        return builder.build()
    }

    /** Limits and common responses. */
    public companion object {
        private const val LEAVE_PROPAGATION_MILLIS = 1_000L
        private const val QUIET_PERIOD_MILLIS = 500L
        private const val MAX_DRAIN_MILLIS = 900_000L
        private const val MAX_EXPLAINED_EVENTS = 200

        /** Response to a message that a process does not serve. */
        public fun notServed(message: PeerMessage): PeerMessage =
            PeerRefusal(Problem(ProblemKind.BAD_REQUEST, "this process does not serve ${message::class.simpleName}"))
    }
}

private fun ownMember(
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
