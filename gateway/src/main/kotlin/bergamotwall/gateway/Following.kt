package bergamotwall.gateway

import bergamotwall.drivers.KeyValueEntry
import bergamotwall.gateway.members.GatewayMember
import bergamotwall.gateway.members.MemberList
import bergamotwall.gateway.store.WatchTiming
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.gateway.store.PrefixWatcher
import bergamotwall.gateway.targets.TargetList
import bergamotwall.gateway.targets.TargetLoads
import bergamotwall.model.Jsons
import kotlinx.coroutines.CoroutineScope
import kotlinx.serialization.SerializationException
import org.tinylog.Logger
import java.util.concurrent.atomic.AtomicLong

/** A section of the board that changed. */
internal enum class FollowedSection { ROUTES, TARGETS, MEMBERS, EVACUATIONS }

/** Brings what the key-value service holds to the [board]; adopts no older configuration than it has. */
internal class Following(
    private val settings: GatewaySettings,
    private val drivers: GatewayDrivers,
    private val board: GatewayBoard,
    private val loads: TargetLoads,
    private val onChange: (FollowedSection) -> Unit,
) {
    private val follow = settings.follow
    private val operator =
        follower(
            drivers.documents.operatorPrefix,
            follow.configurationPauseMillis,
            0,
            follow.configurationWaitMillis,
        ) { operatorChanged(it) }
    private val targets =
        follower(drivers.documents.targetPrefix, follow.targetPauseMillis, follow.graceMillis) { targetsChanged(it) }
    private val members =
        follower(GatewayKeys.LIVE, follow.configurationPauseMillis, follow.memberGraceMillis) { membersChanged(it) }

    /** Whether the targets have been read at least once. */
    @Volatile
    var targetsKnown = false
        private set

    private val dutyFreeFromMillis = AtomicLong(Long.MAX_VALUE)

    @Volatile
    private var lastHolder: String? = null

    /** Whether nobody holds the duty to order weights: its last holder, who need not wait, is left time to take it. */
    fun shouldTakeDuty(): Boolean {
        val mine = lastHolder == null || lastHolder == settings.id.value
        val freeFromMillis = dutyFreeFromMillis.get()
        return freeFromMillis != Long.MAX_VALUE &&
            drivers.clock.monotonicMillis() >= freeFromMillis + if (mine) 0 else LAST_HOLDER_MILLIS
    }

    fun start(scope: CoroutineScope) {
        operator.start(scope)
        targets.start(scope)
        members.start(scope)
    }

    private fun follower(
        prefix: String,
        pauseMillis: Long,
        graceMillis: Long,
        waitMillis: Long = follow.waitMillis,
        onChange: (Map<String, KeyValueEntry>) -> Unit,
    ): PrefixWatcher {
        val timing = WatchTiming(waitMillis, pauseMillis, graceMillis, follow.retryMillis)
        return PrefixWatcher(prefix, drivers.store, drivers.feed, drivers.clock, timing, onChange)
    }

    private fun operatorChanged(entries: Map<String, KeyValueEntry>) {
        val found = drivers.documents.routes(entries)
        if (found != null && found.revision > board.routes.read().revision) {
            board.routes.update { found }
            Logger.info("event=configuration_adopted revision={} routes={}", found.revision.value, found.routes.size)
            onChange(FollowedSection.ROUTES)
        }
        val evacuations = drivers.documents.evacuations(entries)
        if (evacuations != board.evacuations.read()) {
            board.evacuations.update { evacuations }
            Logger.info("event=evacuations_changed vms={}", evacuations.joinToString(",") { it.value })
            onChange(FollowedSection.EVACUATIONS)
        }
        val named = drivers.documents.namedVersions(entries)
        board.namedVersions.update { old ->
            (old.keys + named.keys).associateWith { model -> listOfNotNull(old[model], named[model]).max() }
        }
    }

    private fun targetsChanged(entries: Map<String, KeyValueEntry>) {
        val list = drivers.documents.targets(entries).associateBy { it.id }
        val before = board.targets.read().targets
        (list.keys - before.keys).forEach {
            Logger.info(
                "event=target_found id={} address={}",
                it.value,
                list[it]?.address
            )
        }
        (before.keys - list.keys).forEach { Logger.info("event=target_gone id={}", it.value) }
        list.values.filter { it.draining && before[it.id]?.draining == false }.forEach {
            Logger.info("event=target_draining id={}", it.id.value)
        }
        board.targets.update { TargetList(list) }
        loads.retain(list.keys)
        targetsKnown = true
        onChange(FollowedSection.TARGETS)
    }

    private fun membersChanged(entries: Map<String, KeyValueEntry>) {
        val list = entries.filterKeys { it.startsWith(GatewayKeys.MEMBERS) }.values.mapNotNull { memberOf(it) }
        val before = board.members.read().members
        board.members.update { MemberList(list.associateBy { it.id }) }
        lastHolder = entries[GatewayKeys.LAST_WEIGHT_LEADER]?.value
        if (GatewayKeys.WEIGHT_LEADER in entries) {
            dutyFreeFromMillis.set(Long.MAX_VALUE)
        } else {
            dutyFreeFromMillis.compareAndSet(Long.MAX_VALUE, drivers.clock.monotonicMillis())
        }
        val gone = before.values.filter { old -> list.none { it.id == old.id && it.incarnation == old.incarnation } }
        gone.forEach { Logger.info("event=member_gone id={} incarnation={}", it.id.value, it.incarnation) }
        // A process may have come and gone unseen while the service was away, so that any change counts.
        if (list.toSet() != before.values.toSet()) onChange(FollowedSection.MEMBERS)
    }

    private fun memberOf(entry: KeyValueEntry): GatewayMember? =
        try {
            Jsons.wire.decodeFromString(GatewayMember.serializer(), entry.value)
        } catch (e: SerializationException) {
            Logger.warn("event=registration_unreadable key={} cause=\"{}\"", entry.key, e.message)
            null
        }

    private companion object {
        /** Processes that lost power together are back within about a second of one another. */
        private const val LAST_HOLDER_MILLIS = 1_000L
    }
}
