package bergamotwall.gateway

import bergamotwall.gateway.batches.BatchParts
import bergamotwall.gateway.batches.Batches
import bergamotwall.gateway.forwarding.Forwarder
import bergamotwall.gateway.members.Evacuation
import bergamotwall.gateway.members.EvacuationDependencies
import bergamotwall.gateway.members.GatewayMember
import bergamotwall.gateway.members.Registration
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.gateway.store.RelayFailover
import bergamotwall.gateway.store.RelayedStore
import bergamotwall.gateway.store.StoreRelay
import bergamotwall.gateway.targets.TargetLoads
import bergamotwall.gateway.targets.TargetParts
import bergamotwall.gateway.weights.WeightRolloutDependencies
import bergamotwall.gateway.weights.WeightRollout
import bergamotwall.model.Alive
import bergamotwall.model.BatchId
import bergamotwall.model.CheckAlive
import bergamotwall.model.PeerMessage
import bergamotwall.model.PeerRefusal
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.peers.PeerHandler
import bergamotwall.peers.PeerServer
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Duty
import bergamotwall.runtime.DutyKeys
import bergamotwall.runtime.DutyParts
import bergamotwall.runtime.Journal
import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.tinylog.Logger
import kotlin.random.Random

/** One process of the gateway: follows the key-value service, forwards requests, runs batches, orders weights. */
public class Gateway(
    public val settings: GatewaySettings,
    private val drivers: GatewayDrivers,
    group: EventLoopGroup,
) {
    private val incarnation = drivers.clock.wallMillis()
    private val loop = group.next().asCoroutineDispatcher()

    /** Scope of all work of the process. */
    public val scope: CoroutineScope = CoroutineScope(SupervisorJob() + group.asCoroutineDispatcher())

    /** What the process knows. */
    public val board: GatewayBoard = GatewayBoard()

    /** Its decisions. */
    public val journal: Journal = Journal(settings.id, drivers.clock)

    /** Its counters and histograms. */
    public val metrics: GatewayMetrics = GatewayMetrics()

    private val random = Random(incarnation xor settings.id.value.hashCode().toLong())
    private val loads = TargetLoads()
    private val relay = StoreRelay(drivers.store, drivers.feed)
    private val store =
        RelayedStore(
            drivers.store,
            drivers.feed,
            RelayFailover(settings.id, { board.members.read() }, drivers.peers, drivers.clock, random),
        )

    @Volatile
    private var leaving = false

    /** Whether the process takes work: it knows routes and targets, does not leave, and its VM is not emptied. */
    public val ready: Boolean
        get() = !leaving && settings.id !in board.evacuations.read() && board.routes.read().known &&
            following.targetsKnown

    private val work =
        TargetParts(
            board = board,
            client = drivers.client,
            protocol = drivers.protocol,
            loads = loads,
            clock = drivers.clock,
            random = random,
            journal = journal,
            dataCentre = settings.dataCentre,
            metrics = metrics,
        )

    /** Serves callers' requests. */
    public val forwarder: Forwarder = Forwarder(work, settings.forward)

    /** Serves batches. */
    public val batches: Batches =
        Batches(BatchParts(::self, store, drivers.peers, work), settings.batches, scope, loop)
    private val registration = Registration(store, drivers.clock, settings.leaseTtlSeconds, ::self)
    private val following = Following(
        settings,
        drivers.copy(store = store, feed = store),
        board,
        loads
    ) { section -> changed(section) }
    private val weights =
        WeightRollout(
            WeightRolloutDependencies(settings.id, board, drivers.orders, drivers.clock, journal, metrics),
            Duty(
                "weights",
                DutyParts(settings.id, store, drivers.clock, journal),
                settings.weights.leaseTtlSeconds,
                DutyKeys(GatewayKeys.WEIGHT_LEADER, GatewayKeys.LAST_WEIGHT_LEADER),
            ),
            settings.weights,
        )
    private val evacuation =
        Evacuation(
            EvacuationDependencies(settings.id, board, store, drivers.documents::evacuated, drivers.clock, journal)
        ) { batches.release() }
    private var peerServer: PeerServer? = null

    init {
        metrics.gauge("targets", "Registered targets.") { board.targets.read().targets.size }
        metrics.gauge("members", "Registered processes.") { board.members.read().members.size }
        metrics.gauge("configuration_revision", "Configuration in force.") { board.routes.read().revision.value }
        metrics.gauge("ready", "1 if the process takes work.") { if (ready) 1 else 0 }
        metrics.gauge("connections_opened", "Connections to targets opened since the start.") {
            drivers.client.connectionsOpened
        }
    }

    /** Starts all work. */
    public fun start() {
        peerServer = PeerServer(settings.peerAddress, PeerHandler { message, _ -> answer(message) })
        following.start(scope)
        registration.start(scope)
        evacuation.start(CoroutineScope(scope.coroutineContext + loop))
        weights.start(
            CoroutineScope(scope.coroutineContext + loop)
        ) { settings.frontAddress != null && ready && following.shouldTakeDuty() }
        Logger.info("event=started id={} incarnation={}", settings.id.value, incarnation)
    }

    /** Takes no new work from now on, and lets the others know. Requests in flight go on. */
    public suspend fun leave() {
        leaving = true
        Logger.info("event=leaving id={}", settings.id.value)
        weights.release()
        batches.release()
        registration.end()
    }

    /** Records that a call about [batch] was refused as malformed. */
    public fun refused(
        batch: BatchId?,
        reason: String,
    ): Unit = journal.record(Decision("batch/${batch?.value.orEmpty()}", "refused", "not a valid batch", reason))

    /** Ends all work. */
    public fun stop() {
        scope.cancel()
        peerServer?.close()
        drivers.peers.close()
        drivers.client.close()
        Logger.info("event=stopped id={}", settings.id.value)
    }

    private fun self(): GatewayMember =
        GatewayMember(
            id = settings.id,
            incarnation = incarnation,
            dataCentre = settings.dataCentre,
            peerAddress = settings.peerAddress,
            frontAddress = settings.frontAddress,
            ready = ready,
        )

    private fun changed(section: FollowedSection) {
        registration.changed()
        scope.launch {
            when (section) {
                FollowedSection.ROUTES -> batches.routesChanged()
                FollowedSection.TARGETS -> batches.targetsChanged()
                FollowedSection.MEMBERS -> {
                    batches.membersChanged()
                    evacuation.changed()
                }
                FollowedSection.EVACUATIONS -> evacuation.changed()
            }
        }
    }

    private suspend fun answer(message: PeerMessage): PeerMessage =
        when (message) {
            is CheckAlive -> Alive(if (ready) incarnation else 0)
            else ->
                relay.handle(message)
                    ?: batches.answer(message)
                    ?: PeerRefusal(Problem(ProblemKind.BAD_REQUEST, "not served: ${message::class.simpleName}"))
        }
}
