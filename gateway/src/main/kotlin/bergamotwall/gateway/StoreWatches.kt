package bergamotwall.gateway

import bergamotwall.decisions.membership.newsPauseMillis
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.gateway.duties.LeadershipVacancy
import bergamotwall.gateway.members.GatewayMember
import bergamotwall.gateway.members.MemberList
import bergamotwall.gateway.members.leaderCandidates
import bergamotwall.gateway.news.SharedWatches
import bergamotwall.gateway.store.DecodedEntries
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.gateway.store.PrefixWatcher
import bergamotwall.gateway.store.StoreOutages
import bergamotwall.gateway.store.WatchConfirmation
import bergamotwall.gateway.store.WatchTiming
import bergamotwall.gateway.store.decodeDocument
import bergamotwall.gateway.targets.TargetDependencies
import bergamotwall.model.isAddress
import bergamotwall.runtime.LeadershipKeys
import bergamotwall.runtime.WatchedLeadership
import kotlinx.coroutines.CoroutineScope
import org.tinylog.Logger

/** Parts of the [GatewayState] whose changes are reported. */
internal enum class WatchedSection { ROUTES, TARGETS, MEMBERS, EVACUATIONS }

/**
 * What depends on the watches: [runsBatches] tells whether this process runs batches, [onLiveEntries] takes the entries
 * that processes share, and [onChange] is called after each change of the [GatewayState].
 */
internal class StoreWatchHandlers(
    val runsBatches: () -> Boolean,
    val onLiveEntries: (Map<String, KeyValueEntry>) -> Unit,
    val onChange: (WatchedSection) -> Unit,
)

/** Watches the key-value service and updates the [GatewayState]. Never replaces the configuration by an older one. */
internal class StoreWatches(
    private val settings: GatewaySettings,
    private val drivers: GatewayDrivers,
    private val targets: TargetDependencies,
    private val outages: StoreOutages,
    private val handlers: StoreWatchHandlers,
    private val shared: SharedWatches,
) {
    private val watchSettings = settings.follow
    private val gatewayState = targets.gatewayState
    private val members = DecodedEntries { entry ->
        decodeDocument(GatewayMember.serializer(), entry) { member ->
            val addresses = listOfNotNull(member.peerAddress, member.frontAddress, member.relayAddress)
            if (addresses.all { isAddress(it) }) null else "an address is not host:port"
        }
    }
    private val operatorWatcher =
        watcher(
            drivers.documents.operatorPrefix,
            { watchSettings.configurationPauseMillis },
            0,
            settings.workspaces.waitMillis(watchSettings.configurationWaitMillis),
        ) { onOperatorDocumentsChanged(it) }
    private val targetWatcher =
        watcher(drivers.documents.targetPrefix, ::targetPauseMillis, watchSettings.graceMillis) {
            onTargetsChanged(it)
        }
    private val memberWatcher =
        watcher(GatewayKeys.LIVE, ::memberPauseMillis, watchSettings.memberGraceMillis) {
            onMembersChanged(it)
        }

    /** Whether the list of targets has been read at least once. */
    @Volatile
    var targetsLoaded = false
        private set

    /** The latest proof that the configuration in force is the newest; null before the first listing. */
    val configurationConfirmation: WatchConfirmation? get() = operatorWatcher.confirmation

    /** As [configurationConfirmation], but recorded once the configuration is in force. */
    val appliedConfigurationConfirmation: WatchConfirmation? get() = operatorWatcher.appliedConfirmation

    /** When the list of targets was last known to be current; null before the first listing. */
    val targetsConfirmedAtMillis: Long? get() = targetsConfirmation?.atMillis

    /** The latest proof that the list of targets is current; null before the first listing. */
    val targetsConfirmation: WatchConfirmation? get() = targetWatcher.confirmation

    /** Whether the members were known to be current after [sinceMillis] on the monotonic clock. */
    fun knowsMembersSince(sinceMillis: Long): Boolean =
        memberWatcher.appliedConfirmation?.let { it.atMillis > sinceMillis } ?: false

    private val weightLeadership =
        LeadershipVacancy(
            LeadershipKeys(GatewayKeys.WEIGHT_LEADER, GatewayKeys.LAST_WEIGHT_LEADER),
            settings.id,
            drivers.clock,
        ) { leaderCandidates(gatewayState.members.read(), watchSettings.sharedFromMembers) }

    /** The leadership for weight orders as the watch knows it; null if it must be read. */
    val watchedLeadership: WatchedLeadership? get() = weightLeadership.watched

    /** Whether this process should try to become the leader that sends weight orders, because there is none. */
    fun shouldAcquireLeadership(): Boolean = weightLeadership.shouldAcquire()

    fun start(scope: CoroutineScope) {
        operatorWatcher.start(scope)
        targetWatcher.start(scope)
        memberWatcher.start(scope)
    }

    private fun watcher(
        prefix: String,
        pauseMillis: () -> Long,
        graceMillis: Long,
        waitMillis: Long = watchSettings.waitMillis,
        onChange: (Map<String, KeyValueEntry>) -> Unit,
    ): PrefixWatcher {
        val retryMillis = watchSettings.retryMillis
        val timing =
            WatchTiming(
                waitMillis,
                { shared.pauseMillis(prefix, pauseMillis()) },
                graceMillis,
                { outages.endedAtMillis },
                retryMillis,
                provesChangesAtOnce =
                settings.workspaces.revokeMillis != null && prefix == drivers.documents.operatorPrefix,
            )
        return PrefixWatcher(prefix, shared, shared, drivers.clock, timing, onChange)
    }

    private fun memberPauseMillis(): Long =
        newsPauseMillis(
            gatewayState.members.read().members.size,
            watchSettings.memberPauseMillis,
            watchSettings.configurationPauseMillis,
            watchSettings.longestMemberPauseMillis,
        )

    /**
     * Whether this process must learn of changes under [prefix] at once: processes that place items or order weights
     * need to know which engines hold which version. The pause after a change of the configuration is short anyway.
     */
    fun isUrgent(prefix: String): Boolean =
        prefix == drivers.documents.targetPrefix &&
            (weightLeadership.leader?.value == settings.id.value || handlers.runsBatches())

    private fun targetPauseMillis(): Long =
        if (isUrgent(drivers.documents.targetPrefix)) {
            watchSettings.targetPauseMillis
        } else {
            newsPauseMillis(
                gatewayState.members.read().members.size,
                watchSettings.targetPausePerMemberMillis,
                watchSettings.targetPauseMillis,
                (watchSettings.departureMillis - watchSettings.departureMarginMillis) / 2,
            )
        }

    private fun onOperatorDocumentsChanged(entries: Map<String, KeyValueEntry>) {
        val table = drivers.documents.routes(entries)
        if (table != null && table.revision > gatewayState.routes.read().revision) {
            gatewayState.routes.update { table }
            Logger.info(
                "event=configuration_adopted revision={} routes={} path=\"{}\" gapMillis={}",
                table.revision.value,
                table.routes.size,
                configurationConfirmation?.path,
                configurationConfirmation?.gapMillis,
            )
            handlers.onChange(WatchedSection.ROUTES)
        }
        val evacuations = drivers.documents.evacuations(entries)
        if (evacuations != gatewayState.evacuations.read()) {
            gatewayState.evacuations.update { evacuations }
            Logger.info("event=evacuations_changed vms={}", evacuations.joinToString(",") { it.value })
            handlers.onChange(WatchedSection.EVACUATIONS)
        }
        val named = drivers.documents.namedVersions(entries)
        gatewayState.namedVersions.update { old ->
            (old.keys + named.keys).associateWith { model -> listOfNotNull(old[model], named[model]).max() }
        }
    }

    private fun onTargetsChanged(entries: Map<String, KeyValueEntry>) {
        val list = drivers.documents.targets(entries).associateBy { it.id }
        val previous = gatewayState.targets.read().targets
        (list.keys - previous.keys).forEach {
            Logger.info(
                "event=target_found id={} address={} software={}",
                it.value,
                list[it]?.address,
                list[it]?.softwareVersion?.value
            )
        }
        (previous.keys - list.keys).forEach { Logger.info("event=target_gone id={}", it.value) }
        targets.departures.registered(list, drivers.clock.monotonicMillis())
        targets.loads.retain(list.keys)
        targetsLoaded = true
        handlers.onChange(WatchedSection.TARGETS)
    }

    private fun onMembersChanged(entries: Map<String, KeyValueEntry>) {
        val list = members.of(entries.filterKeys { it.startsWith(GatewayKeys.MEMBERS) }).values
        val previous = gatewayState.members.read().members
        gatewayState.members.update { MemberList(list.associateBy { it.id }) }
        handlers.onLiveEntries(entries)
        weightLeadership.onStoreChanged(entries)
        val removed =
            previous.values.filter { old -> list.none { it.id == old.id && it.incarnation == old.incarnation } }
        removed.forEach { Logger.info("event=member_gone id={} incarnation={}", it.id.value, it.incarnation) }
        // Any change counts: a process may have started and stopped unnoticed while the service was unavailable.
        if (list.toSet() != previous.values.toSet()) handlers.onChange(WatchedSection.MEMBERS)
    }
}
