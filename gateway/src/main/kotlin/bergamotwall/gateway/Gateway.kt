package bergamotwall.gateway

import bergamotwall.gateway.batches.BatchDependencies
import bergamotwall.gateway.batches.Batches
import bergamotwall.gateway.crashes.CrashGuardDependencies
import bergamotwall.gateway.crashes.SharedCrashGuard
import bergamotwall.gateway.explain.Explainer
import bergamotwall.gateway.explain.ExplainerDependencies
import bergamotwall.gateway.explain.ForwardingView
import bergamotwall.gateway.forwarding.Forwarder
import bergamotwall.gateway.http.ResponseDoubt
import bergamotwall.gateway.limits.LimitPublisher
import bergamotwall.gateway.members.Evacuation
import bergamotwall.gateway.members.EvacuationDependencies
import bergamotwall.gateway.members.GatewayMember
import bergamotwall.gateway.members.Registration
import bergamotwall.gateway.members.isAssignedOwner
import bergamotwall.gateway.news.SharedWatchDependencies
import bergamotwall.gateway.news.SharedWatches
import bergamotwall.gateway.relays.RelayPeer
import bergamotwall.gateway.relays.RelayedTargetClient
import bergamotwall.gateway.relays.TargetRelay
import bergamotwall.gateway.scaling.ScalingDependencies
import bergamotwall.gateway.scaling.TargetScaling
import bergamotwall.gateway.scaling.WorkRecorder
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.gateway.store.RelayFailover
import bergamotwall.gateway.store.RelayedStore
import bergamotwall.gateway.store.StoreOutages
import bergamotwall.gateway.store.StoreRelay
import bergamotwall.gateway.store.WatchConfirmation
import bergamotwall.gateway.streams.SharedStreamOrigins
import bergamotwall.gateway.streams.StreamOriginDependencies
import bergamotwall.gateway.targets.TargetDependencies
import bergamotwall.gateway.targets.TargetLimits
import bergamotwall.gateway.targets.TargetLoads
import bergamotwall.gateway.usage.StartRecorder
import bergamotwall.gateway.usage.UsageDependencies
import bergamotwall.gateway.usage.UsageReporting
import bergamotwall.gateway.weights.WeightRollout
import bergamotwall.gateway.weights.WeightRolloutDependencies
import bergamotwall.gateway.workspaces.CallerKeys
import bergamotwall.gateway.workspaces.KeyRefusals
import bergamotwall.model.Alive
import bergamotwall.model.BatchId
import bergamotwall.model.CheckAlive
import bergamotwall.model.PeerMessage
import bergamotwall.model.PeerRefusal
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.RequestId
import bergamotwall.peers.PeerHandler
import bergamotwall.peers.PeerServer
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Journal
import bergamotwall.runtime.Leadership
import bergamotwall.runtime.LeadershipDependencies
import bergamotwall.runtime.LeadershipKeys
import bergamotwall.runtime.supervisedFailures
import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.tinylog.Logger
import kotlin.random.Random

/**
 * A process of the gateway. Watches the key-value service, forwards callers' requests to targets, runs batches, and
 * sends weight orders to engines while it is the leader.
 */
public class Gateway(
    public val settings: GatewaySettings,
    private val drivers: GatewayDrivers,
    group: EventLoopGroup,
) {
    private val incarnation = drivers.clock.wallMillis()
    private val startedAtMillis = drivers.clock.monotonicMillis()
    private val eventLoop = group.next().asCoroutineDispatcher()

    /** Scope of all coroutines of the process. */
    public val scope: CoroutineScope = CoroutineScope(SupervisorJob() + group.asCoroutineDispatcher())

    /** Current state of routes, targets and members as known to the process. */
    public val gatewayState: GatewayState = GatewayState()

    /** Journal of the process's decisions. */
    public val journal: Journal = Journal(settings.id, drivers.clock)

    /** Metrics of the process. */
    public val metrics: GatewayMetrics = GatewayMetrics()

    private val random = Random(incarnation xor settings.id.value.hashCode().toLong())
    private val loads = TargetLoads()
    private val relay = StoreRelay(drivers.store, drivers.feed)
    private val outages = StoreOutages(drivers.clock, settings.follow.outageMillis)
    private val store =
        RelayedStore(
            drivers.store,
            drivers.feed,
            RelayFailover(settings.id, { gatewayState.members.read() }, drivers.peers, drivers.clock, random),
            outages,
        )

    /** The departure of this process. */
    public val leave: Leave = Leave(drivers.clock, settings, metrics)

    /**
     * Whether the process accepts work: routes and targets are known, streams may begin, and it is neither shutting
     * down nor evacuated.
     */
    public val ready: Boolean
        get() = !leave.begun && settings.id !in gatewayState.evacuations.read() && gatewayState.routes.read().known &&
            watches.targetsLoaded && streamOrigins.loaded

    /** The latest proof that the configuration in force is the newest; null before the first one. */
    public val configurationConfirmation: WatchConfirmation? get() = watches.configurationConfirmation

    /** Whether the configuration in force was known to be the newest recently enough to tell that a route is absent. */
    public val configurationCurrent: Boolean
        get() = configurationAgeMillis()?.let { it <= settings.follow.configurationStaleMillis } ?: false

    /** Checks the keys of callers' requests. */
    public val callerKeys: CallerKeys =
        CallerKeys(
            gatewayState.routes::read,
            { watches.appliedConfigurationConfirmation },
            { configurationCurrent },
            drivers.clock,
            settings.workspaces,
            KeyRefusals(journal, metrics),
        )

    private val relayedRequests = metrics.counter("relayed_requests", "Requests to targets sent through a peer.")
    private val targetClient =
        RelayedTargetClient(
            drivers.client,
            ::relayPeers,
            drivers.clock,
            settings.relays,
        ) { relayedRequests.inc() }

    private val usage: UsageReporting? =
        settings.usage?.let { usageSettings ->
            val dependencies =
                UsageDependencies(
                    node = settings.id,
                    incarnation = incarnation,
                    gatewayState = gatewayState,
                    store = store,
                    peers = drivers.peers,
                    driver = requireNotNull(drivers.usage) { "no driver for usage reports" },
                    clock = drivers.clock,
                    random = random,
                    journal = journal,
                    metrics = metrics,
                    sharedFromMembers = settings.follow.sharedFromMembers,
                )
            UsageReporting(dependencies, usageSettings, eventLoop)
        }

    private val targetDependencies =
        TargetDependencies(
            gatewayState = gatewayState,
            client = targetClient,
            protocol = drivers.protocol,
            loads = loads,
            clock = drivers.clock,
            random = random,
            journal = journal,
            dataCentre = settings.dataCentre,
            metrics = metrics,
            limits = TargetLimits(settings.id, gatewayState, loads, journal),
            starts = usage?.recorder ?: StartRecorder.NONE,
            account = drivers.account,
            isLargeFleet = { gatewayState.members.read().members.size >= settings.follow.sharedFromMembers },
            work = WorkRecorder(drivers.clock, enabled = settings.scaling != null),
        )

    /** Sends requests to targets for peers that can't reach them. */
    public val targetRelay: TargetRelay = TargetRelay(targetClient, targetDependencies, scope) { !leave.begun }

    private val crashes: SharedCrashGuard =
        SharedCrashGuard(
            CrashGuardDependencies(
                self = settings.id,
                store = store,
                targets = targetDependencies,
                targetsConfirmedAtMillis = { watches.targetsConfirmedAtMillis },
            ),
            settings.crashes,
        )

    private val limitPublisher = LimitPublisher(store, targetDependencies)

    private val streamOrigins =
        SharedStreamOrigins(
            StreamOriginDependencies(
                store,
                gatewayState,
                drivers.clock,
                random,
                metrics,
                targetsConfirmation = { watches.targetsConfirmation },
            ),
            settings.streams,
        )

    /** Forwards callers' requests. */
    public val forwarder: Forwarder = Forwarder(targetDependencies, crashes, settings.forward, streamOrigins)

    private val registration =
        Registration(
            store,
            drivers.clock,
            settings.leaseTtlSeconds,
            isMissing = { sinceMillis ->
                watches.knowsMembersSince(sinceMillis) &&
                    gatewayState.members.read().find(settings.id, incarnation) == null
            },
            self = ::self,
        )

    /** Accepts and runs batches. */
    public val batches: Batches =
        Batches(
            BatchDependencies(::self, store, registration, drivers.peers, targetDependencies, forwarder),
            settings.batches,
            scope,
            eventLoop,
        )
    private val scaling: TargetScaling? =
        settings.scaling?.let { scalingSettings ->
            val dependencies =
                ScalingDependencies(
                    node = settings.id,
                    gatewayState = gatewayState,
                    store = store,
                    peers = drivers.peers,
                    api = requireNotNull(drivers.scaling) { "no driver for ordering targets" },
                    clock = drivers.clock,
                    random = random,
                    journal = journal,
                    metrics = metrics,
                    work = targetDependencies.work,
                    waitingItems = { batches.waitingItems },
                    targetsConfirmedAtMillis = { watches.targetsConfirmedAtMillis },
                )
            TargetScaling(dependencies, scalingSettings, eventLoop)
        }

    /** Explains where a request would be sent now. */
    public val explainer: Explainer =
        Explainer(
            ExplainerDependencies(
                self = settings.id,
                targets = targetDependencies,
                keys = callerKeys,
                leave = leave,
                forwarding = ForwardingView(targetDependencies, crashes, streamOrigins, settings.forward),
                batches = batches,
                configuration = { configurationConfirmation },
                configurationCurrent = { configurationCurrent },
                targetsConfirmation = { watches.targetsConfirmation },
            ),
        )
    private val sharedWatches =
        SharedWatches(
            SharedWatchDependencies(
                settings.id,
                settings.dataCentre,
                { gatewayState.members.read() },
                store,
                store,
                drivers.peers,
                drivers.clock,
                outages,
                metrics,
                isUrgent = { watches.isUrgent(it) },
            ),
            settings.follow,
        )
    private val watches: StoreWatches = StoreWatches(
        settings,
        drivers,
        targetDependencies,
        outages,
        StoreWatchHandlers(
            { batches.runsAny || isAssignedOwner(settings.id, gatewayState) },
            { entries ->
                crashes.onStoreChanged(entries)
                limitPublisher.onStoreChanged(entries)
                usage?.onStoreChanged(entries)
                scaling?.onStoreChanged(entries)
                val wasReady = ready
                streamOrigins.onStoreChanged(entries)
                if (ready != wasReady) registration.changed()
            },
            ::onSectionChanged,
        ),
        sharedWatches,
    )
    private val weightRollout =
        WeightRollout(
            WeightRolloutDependencies(settings.id, gatewayState, drivers.orders, drivers.clock, journal, metrics),
            Leadership(
                "weights",
                LeadershipDependencies(settings.id, store, drivers.clock, journal),
                settings.weights.leaseTtlSeconds,
                LeadershipKeys(GatewayKeys.WEIGHT_LEADER, GatewayKeys.LAST_WEIGHT_LEADER),
                watched = { watches.watchedLeadership },
            ),
            settings.weights,
        )
    private val evacuation =
        Evacuation(
            EvacuationDependencies(
                settings.id,
                gatewayState,
                store,
                drivers.documents::evacuated,
                drivers.clock,
                journal,
            ),
        ) { batches.release() }
    private var peerServer: PeerServer? = null

    init {
        metrics.gauge("targets", "Registered targets.") { gatewayState.targets.read().targets.size }
        metrics.gauge("mixed_services", "Services whose registered targets run several software versions.") {
            gatewayState.targets.read().mixedServices
        }
        metrics.gauge("lost_paths", "Addresses of targets and peers to which the process has no path.") {
            targetClient.lostPaths
        }
        metrics.gauge("limited_targets", "Targets that name a request limit.") { loads.limits().size }
        metrics.gauge("members", "Registered processes.") { gatewayState.members.read().members.size }
        metrics.gauge("configuration_revision", "Configuration in force.") { gatewayState.routes.read().revision.value }
        metrics.gauge("configuration_age_seconds", "Time since the configuration was last known to be the newest.") {
            (configurationAgeMillis() ?: (drivers.clock.monotonicMillis() - startedAtMillis)) / MILLIS_PER_SECOND
        }
        metrics.gauge(
            "loop_failures",
            "Unexpected errors of loops since the start; each was resumed."
        ) { supervisedFailures }
        metrics.gauge("ready", "1 if the process takes work.") { if (ready) 1 else 0 }
        metrics.gauge("connections_opened", "Connections to targets opened since the start.") {
            drivers.client.connectionsOpened
        }
        metrics.labelledGauge("responses_in_doubt", "Responses that were not trusted.", "reason") {
            ResponseDoubt.entries.associate { it.name.lowercase() to drivers.client.responsesInDoubt(it) }
        }
    }

    /** Starts the process's peer server and background work. */
    public fun start() {
        peerServer = PeerServer(settings.peerAddress, PeerHandler { message, _ -> handle(message) })
        watches.start(scope)
        targetClient.start(scope)
        crashes.start(CoroutineScope(scope.coroutineContext + eventLoop))
        limitPublisher.start(CoroutineScope(scope.coroutineContext + eventLoop))
        streamOrigins.start(CoroutineScope(scope.coroutineContext + eventLoop))
        registration.start(scope)
        evacuation.start(CoroutineScope(scope.coroutineContext + eventLoop))
        weightRollout.start(
            CoroutineScope(scope.coroutineContext + eventLoop),
            eligible = { settings.frontAddress != null && ready && watches.shouldAcquireLeadership() },
            hasPaths = { !targetClient.cutOff },
        )
        usage?.start(CoroutineScope(scope.coroutineContext + eventLoop)) { settings.frontAddress != null && ready }
        scaling?.start(CoroutineScope(scope.coroutineContext + eventLoop)) { settings.frontAddress != null && ready }
        Logger.info("event=started id={} incarnation={}", settings.id.value, incarnation)
    }

    /** Begins the shutdown: accepts no new work and deregisters. Requests in flight continue. */
    public suspend fun shutDown() {
        leave.begin()
        Logger.info("event=leaving id={}", settings.id.value)
        weightRollout.release()
        usage?.release()
        scaling?.release()
        batches.release()
        streamOrigins.publish()
        registration.end()
    }

    /** Records in the journal that no route matches request [id] of [path] on [host]. */
    public fun unrouted(
        id: RequestId,
        host: String,
        path: String,
    ) {
        val revision = gatewayState.routes.read().revision.value
        val ageMillis = configurationAgeMillis()
        val inputs = "configuration $revision, confirmed $ageMillis ms ago, ${configurationConfirmation?.path}"
        journal.record(Decision("request/${id.value}", "no route", "the longest prefix", "$host$path", inputs))
    }

    /** Records in the journal that a request concerning [batch] was refused as malformed. */
    public fun refused(
        batch: BatchId?,
        reason: String,
    ): Unit = journal.record(Decision("batch/${batch?.value.orEmpty()}", "refused", "not a valid batch", reason))

    /** Cancels all work and closes all connections. */
    public fun stop() {
        scope.cancel()
        peerServer?.close()
        drivers.peers.close()
        drivers.client.close()
        Logger.info("event=stopped id={}", settings.id.value)
    }

    private fun configurationAgeMillis(): Long? =
        configurationConfirmation?.ageMillis(drivers.clock)

    private fun self(): GatewayMember =
        GatewayMember(
            id = settings.id,
            incarnation = incarnation,
            dataCentre = settings.dataCentre,
            peerAddress = settings.peerAddress,
            frontAddress = settings.frontAddress,
            ready = ready,
            relayAddress = settings.relayAddressOrDefault,
            cores = settings.coreShare * settings.coreSpeed,
        )

    private fun relayPeers(): List<RelayPeer> =
        gatewayState.members
            .read()
            .members.values
            .filter { it.id != settings.id }
            .mapNotNull { member -> member.relayAddress?.let { RelayPeer(member.id, it) } }

    private fun onSectionChanged(section: WatchedSection) {
        registration.changed()
        streamOrigins.changed()
        scope.launch {
            when (section) {
                WatchedSection.ROUTES -> batches.routesChanged()
                WatchedSection.TARGETS -> batches.targetsChanged()
                WatchedSection.MEMBERS -> {
                    batches.membersChanged()
                    evacuation.changed()
                }
                WatchedSection.EVACUATIONS -> evacuation.changed()
            }
        }
    }

    private suspend fun handle(message: PeerMessage): PeerMessage =
        when (message) {
            is CheckAlive -> Alive(if (ready) incarnation else 0)
            else ->
                relay.handle(message)
                    ?: sharedWatches.handle(message)
                    ?: usage?.handle(message)
                    ?: scaling?.handle(message)
                    ?: batches.handle(message)
                    ?: PeerRefusal(Problem(ProblemKind.BAD_REQUEST, "not served: ${message::class.simpleName}"))
        }

    private companion object {
        private const val MILLIS_PER_SECOND = 1_000.0
    }
}
