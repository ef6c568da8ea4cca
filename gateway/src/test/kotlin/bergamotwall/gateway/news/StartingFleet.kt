package bergamotwall.gateway.news

import bergamotwall.decisions.membership.newsPauseMillis
import bergamotwall.drivers.ChangeFeed
import bergamotwall.drivers.KeyValueChange
import bergamotwall.drivers.KeyValueChanges
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueListing
import bergamotwall.drivers.KeyValueStore
import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.WatchSettings
import bergamotwall.gateway.members.GatewayMember
import bergamotwall.gateway.members.MemberList
import bergamotwall.gateway.store.PrefixWatcher
import bergamotwall.gateway.store.StoreOutages
import bergamotwall.gateway.store.WatchTiming
import bergamotwall.model.DataCentre
import bergamotwall.model.NodeId
import bergamotwall.model.PeerMessage
import bergamotwall.peers.PeerClient
import bergamotwall.peers.PeerError
import bergamotwall.runtime.Clock
import bergamotwall.standins.fakes.MemoryKeyValueStore
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.withTimeoutOrNull
import java.util.TreeMap
import kotlin.random.Random

/**
 * A fleet of [size] processes in three data centres, in virtual time, all of which start within two seconds. Each
 * watches three prefixes and registers twice under `live/`, the second time as ready. Counts the calls to the service.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal class StartingFleet(private val scope: TestScope, private val size: Int) : Clock {
    private val settings = WatchSettings()
    private val random = Random(1)
    private val entries = LinkedHashMap<String, KeyValueEntry>()
    private val revision = MutableStateFlow(1L)
    private val handlers = HashMap<String, SharedWatches>()
    private val noStore = MemoryKeyValueStore(this)

    /** Processes that must learn of changed targets at once. */
    val urgent = HashSet<String>()

    /**
     * Watches of the service by prefix, those of processes that know too few members to share their watches under
     * [ALONE], and listings under [LISTINGS].
     */
    val calls = TreeMap<String, Int>()

    /** How many members each process knows. */
    val memberCounts = HashMap<String, Int>()

    /** Longest time from a change of a target until a process learned of it, by process. */
    val latestMillis = HashMap<String, Long>()
    private val writtenAtMillis = HashMap<Long, Long>()

    /** Writes [key]. */
    fun write(
        key: String,
        value: String = "",
    ) {
        val next = revision.value + 1
        writtenAtMillis[next] = scope.currentTime
        entries[key] = KeyValueEntry(key, value, next, next)
        revision.update { next }
    }

    fun start(): Unit = repeat(size) { number ->
        scope.backgroundScope.launch {
            delay(random.nextLong(START_MILLIS))
            Process("p$number", DataCentre("d${number % DATA_CENTRES}")).start()
        }
    }

    override fun monotonicMillis(): Long = scope.currentTime

    override fun wallMillis(): Long = scope.currentTime

    private fun under(prefix: String) = entries.values.filter { it.key.startsWith(prefix) }

    private suspend fun <T> call(
        name: String,
        response: suspend () -> T,
    ): Result<T, Nothing> {
        calls.merge(name, 1, Int::plus)
        delay(ONE_WAY_MILLIS)
        return Ok(response()).also { delay(ONE_WAY_MILLIS) }
    }

    private inner class Process(private val id: String, private val dataCentre: DataCentre) : PeerClient {
        private val clock = this@StartingFleet
        private var members = MemberList()
        private val known = HashMap<String, Long>()
        private val feed =
            ChangeFeed { prefix, after, waitMillis ->
                call(if (members.members.size < settings.sharedFromMembers) ALONE else prefix) {
                    val changed = { under(prefix).filter { it.modRevision > after } }
                    withTimeoutOrNull(waitMillis) { revision.first { changed().isNotEmpty() } }
                    KeyValueChanges(changed().map { KeyValueChange.Put(it) }, revision.value)
                }
            }
        private val store =
            object : KeyValueStore by noStore {
                override suspend fun list(prefix: String) =
                    call(LISTINGS) { KeyValueListing(under(prefix), revision.value) }
            }
        private val outages = StoreOutages(clock, settings.outageMillis)
        private val shared =
            SharedWatches(
                SharedWatchDependencies(
                    NodeId(id),
                    dataCentre,
                    { members },
                    store,
                    feed,
                    this,
                    clock,
                    outages,
                    GatewayMetrics(),
                    isUrgent = { it == "servers/" && id in urgent },
                ),
                settings,
            )
        override val bytesSent: Long = 0

        fun start() {
            handlers[id] = shared
            watch("op/", settings.configurationWaitMillis) { settings.configurationPauseMillis }
            watch("servers/", settings.waitMillis) { settings.targetPauseMillis }
            watch("live/", settings.waitMillis) {
                newsPauseMillis(members.members.size, settings.memberPauseMillis, 20, settings.longestMemberPauseMillis)
            }
            scope.backgroundScope.launch {
                write("live/$id", "${dataCentre.value} false")
                delay(random.nextLong(READY_MILLIS))
                write("live/$id", "${dataCentre.value} true")
            }
        }

        private fun watch(
            prefix: String,
            waitMillis: Long,
            pauseMillis: () -> Long,
        ) {
            val pause = { shared.pauseMillis(prefix, pauseMillis()) }
            val timing = WatchTiming(waitMillis, pause, 0, { outages.endedAtMillis }, settings.retryMillis)
            PrefixWatcher(prefix, shared, shared, clock, timing) { onChange(prefix, it) }.start(scope.backgroundScope)
        }

        private fun onChange(
            prefix: String,
            entries: Map<String, KeyValueEntry>,
        ) {
            if (prefix == "live/") members = MemberList(entries.values.map { member(it) }.associateBy { it.id })
            memberCounts[id] = members.members.size
            if (prefix != "servers/") return
            val new = entries.values.filter { known.put(it.key, it.modRevision) != it.modRevision }
            val latest = new.maxOfOrNull { scope.currentTime - writtenAtMillis.getValue(it.modRevision) } ?: return
            latestMillis.merge(id, latest, ::maxOf)
        }

        private fun member(entry: KeyValueEntry): GatewayMember {
            val name = entry.key.removePrefix("live/")
            val (site, ready) = entry.value.split(' ')
            return GatewayMember(NodeId(name), 1, DataCentre(site), "$name:1", ready = ready.toBoolean())
        }

        override suspend fun sendRequest(
            address: String,
            message: PeerMessage,
            timeoutMillis: Long,
            trace: String?,
        ): Result<PeerMessage, PeerError> {
            val peer = handlers.getValue(address.substringBefore(':'))
            val response =
                withTimeoutOrNull(timeoutMillis) {
                    delay(ONE_WAY_MILLIS)
                    peer.handle(message).also { delay(ONE_WAY_MILLIS) }
                }
            return response?.let { Ok(it) } ?: Err(PeerError.NoResponse(address))
        }

        override fun close() = Unit
    }

    companion object {
        const val ALONE = "alone"
        const val LISTINGS = "listings"
        private const val DATA_CENTRES = 3
        private const val START_MILLIS = 2_000L
        private const val READY_MILLIS = 1_000L
        private const val ONE_WAY_MILLIS = 2L
    }
}
