package bergamotwall.gateway.news

import bergamotwall.drivers.ChangeFeed
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueStore
import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.WatchSettings
import bergamotwall.gateway.members.GatewayMember
import bergamotwall.gateway.members.MemberList
import bergamotwall.gateway.store.PrefixWatcher
import bergamotwall.gateway.store.StoreOutages
import bergamotwall.gateway.store.UnreliableNetwork
import bergamotwall.gateway.store.WatchTiming
import bergamotwall.model.DataCentre
import bergamotwall.model.NodeId
import bergamotwall.model.PeerMessage
import bergamotwall.peers.PeerClient
import bergamotwall.peers.PeerError
import bergamotwall.runtime.Clock
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime

/**
 * Processes that share the watch on `op/`, in virtual time. Checks whenever asked that no process believes to know more
 * than it does; each process records when it adopted the key of each revision.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal class FollowFleet(private val scope: TestScope, size: Int, sharedFromMembers: Int = 3) {
    private val settings = WatchSettings(sharedFromMembers = sharedFromMembers)
    private val network = UnreliableNetwork { scope.currentTime }
    private val writes = ArrayList<Pair<Long, Long>>()
    private val members =
        (1..size).map { GatewayMember(NodeId("p$it"), 1, DataCentre("x"), "p$it:1", ready = true) }
    private val memberList = MemberList(members.associateBy { it.id })
    val processes = members.map { Process(it) }

    /** Revisions below this are compacted. */
    var compactedRevision = 0L

    /** Age from which on the service drops changes. */
    var historyMillis = Long.MAX_VALUE

    val followers: List<Process> get() = processes.filter { it.role is WatchRole.Follower }
    val readers: List<Process> get() = processes.filter { it.role is WatchRole.Reader }

    /** Writes the only key at [atMillis]; writes must be added in the order of their times. */
    fun write(atMillis: Long) {
        writes += atMillis to network.write(KEY, atMillis)
    }

    /** Writes a key that is not watched at [atMillis]. */
    fun writeElsewhere(atMillis: Long): Unit = network.writeElsewhere(atMillis)

    /** The revision of the service at [atMillis]. */
    fun serviceRevisionAt(atMillis: Long): Long = network.revisionAt(atMillis)

    /** Interrupts [path] between [fromMillis] and [untilMillis]. */
    fun interrupt(
        path: String,
        fromMillis: Long,
        untilMillis: Long,
    ) {
        network.interruptions += path to fromMillis..untilMillis
    }

    fun start(): Unit = processes.forEach { it.start() }

    /** The revision of the key at [atMillis]. */
    fun revisionAt(atMillis: Long): Long = writes.lastOrNull { it.first <= atMillis }?.second ?: 0

    /** One process with its watch and clocks. */
    inner class Process(val member: GatewayMember) : Clock, PeerClient {
        val pathToService = "${member.id.value} to service"
        private val driver = network.Driver(pathToService, settings.marginMillis)
        private val feed =
            ChangeFeed { prefix, after, waitMillis ->
                val droppedMillis = scope.currentTime - historyMillis
                val dropped = if (droppedMillis < 0) 0 else network.revisionAt(droppedMillis)
                if (after < maxOf(compactedRevision, dropped)) {
                    Err(KeyValueError.HistoryCompacted("compacted"))
                } else {
                    polls++
                    driver.changes(prefix, after, waitMillis)
                }
            }
        private val store =
            object : KeyValueStore by driver {
                override suspend fun list(prefix: String) = driver.list(prefix).also { listings++ }
            }
        private val outages = StoreOutages(this, settings.outageMillis)
        private val shared =
            SharedWatches(
                SharedWatchDependencies(
                    member.id,
                    member.dataCentre,
                    { memberList },
                    store,
                    feed,
                    this,
                    this,
                    outages,
                    GatewayMetrics(),
                    // Urgent readers prefer the same follower, the others are spread.
                    isUrgent = { members.indexOf(member) % 2 == 0 },
                ),
                settings,
            )
        private val roles =
            WatchRoles(member.id, member.dataCentre, { memberList }, settings.sharedFromMembers)
        private val timing =
            WatchTiming(
                settings.configurationWaitMillis,
                { shared.pauseMillis(PREFIX, settings.configurationPauseMillis) },
                0,
                { outages.endedAtMillis },
                settings.retryMillis,
            )
        private val watcher = PrefixWatcher(PREFIX, shared, shared, this, timing, ::onChange)
        val role: WatchRole get() = roles.current()

        /** Offset of the wall clock from virtual time. */
        var wallOffsetMillis = 0L

        /** When the VM is suspended: its monotonic clock stands still. */
        var suspended = LongRange.EMPTY

        /** When the process sends no responses; those that it has determined are sent at the end. */
        var paused = LongRange.EMPTY

        /** Polls of the service so far. */
        var polls = 0

        /** Listings of the service so far. */
        var listings = 0

        /** Replaces the response to a message, or delays it. */
        var fault: suspend (PeerMessage, suspend () -> PeerMessage) -> PeerMessage = { _, respond -> respond() }

        /** When the process adopted each revision. */
        val adoptedAtMillis = LinkedHashMap<Long, Long>()
        private var revision = 0L

        override val bytesSent: Long = 0

        fun start() {
            watcher.start(scope.backgroundScope)
        }

        /** Age of the proof as the process believes; null before the first one. */
        fun proofAgeMillis(): Long? = watcher.confirmation?.ageMillis(this)

        /** What is wrong with what the process believes, or null. */
        fun falseBelief(): String? {
            val age = proofAgeMillis() ?: return null
            val atMillis = scope.currentTime - age
            val expected = revisionAt(atMillis)
            return if (revision >= expected) {
                null
            } else {
                "${member.id.value} at ${scope.currentTime}: has $revision, claims $expected of $atMillis"
            }
        }

        private fun onChange(entries: Map<String, KeyValueEntry>) {
            val newRevision = entries[KEY]?.modRevision ?: 0
            check(newRevision >= revision) { "${member.id.value} returned from $revision to $newRevision" }
            revision = newRevision
            adoptedAtMillis.putIfAbsent(newRevision, scope.currentTime)
        }

        override fun monotonicMillis(): Long {
            val nowMillis = scope.currentTime
            val stoodStillMillis = if (suspended.isEmpty()) 0 else minOf(nowMillis, suspended.last) - suspended.first
            return nowMillis - maxOf(0, stoodStillMillis)
        }

        override fun wallMillis(): Long = scope.currentTime + wallOffsetMillis

        override suspend fun sendRequest(
            address: String,
            message: PeerMessage,
            timeoutMillis: Long,
            trace: String?,
        ): Result<PeerMessage, PeerError> {
            val peer = processes.first { it.member.peerAddress == address }
            val response =
                network.over("${member.id.value} to ${peer.member.id.value}", timeoutMillis) {
                    if (scope.currentTime in peer.paused) delay(peer.paused.last - scope.currentTime)
                    val answer = peer.fault(message) { checkNotNull(peer.shared.handle(message)) }
                    if (scope.currentTime in peer.paused) delay(peer.paused.last - scope.currentTime)
                    answer
                }
            return response?.let { Ok(it) } ?: Err(PeerError.NoResponse(address))
        }

        override fun close() = Unit
    }

    companion object {
        const val PREFIX = "op/"
        private const val KEY = "op/config"

        /** A process that never responds. */
        val silent: suspend (PeerMessage, suspend () -> PeerMessage) -> PeerMessage = { _, _ ->
            delay(Long.MAX_VALUE)
            error("unreachable")
        }
    }
}
