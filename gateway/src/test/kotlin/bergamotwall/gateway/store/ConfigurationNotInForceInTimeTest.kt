package bergamotwall.gateway.store

import bergamotwall.gateway.WatchSettings
import bergamotwall.gateway.members.GatewayMember
import bergamotwall.gateway.members.MemberList
import bergamotwall.gateway.members.Registration
import bergamotwall.model.DataCentre
import bergamotwall.model.NodeId
import bergamotwall.runtime.Clock
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

/** A process whose paths to the key-value service are interrupted adopts a change in time after they work again. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class ConfigurationNotInForceInTimeTest {
    /** What is interrupted, from [START_MILLIS] plus an offset on. */
    enum class Interruption(val paths: List<String>, val silencedIdle: Int = 0, val instant: Boolean = false) {
        DIRECT_PATH(listOf(UnreliableNetwork.DIRECT)),
        ALL_PATHS(listOf(UnreliableNetwork.DIRECT) + RELAYS),
        DIRECT_PATH_AND_ONE_RELAY(listOf(UnreliableNetwork.DIRECT, RELAYS.first())),
        DIRECT_PATH_AND_MOST_RELAYS(listOf(UnreliableNetwork.DIRECT) + RELAYS.drop(1)),
        OPEN_CONNECTIONS_TO_THE_SERVICE(listOf(UnreliableNetwork.DIRECT), instant = true),
        ALL_OPEN_CONNECTIONS(listOf(UnreliableNetwork.DIRECT) + RELAYS, silencedIdle = 2, instant = true),
    }

    @ParameterizedTest
    @EnumSource
    fun `a change is in force in time after an interruption`(interruption: Interruption) {
        val stepMillis = if (interruption.instant) FINE_STEP_MILLIS else STEP_MILLIS
        val durations = if (interruption.instant) listOf(0L) else DURATIONS_MILLIS
        val cases =
            (0L until OFFSETS_MILLIS step stepMillis).flatMap { offset ->
                durations.flatMap { duration -> CHANGES_MILLIS.map { Triple(offset, duration, it) } }
            }
        val lateness =
            cases.associateWith { (offset, duration, change) ->
                latenessMillis(interruption, offset, duration, change)
            }
        val (case, worstMillis) = lateness.maxBy { it.value }
        expectThat(worstMillis)
            .describedAs("$worstMillis ms late at (offset, duration, change) $case")
            .isLessThanOrEqualTo(0)
    }

    /** How much later than allowed the process adopted a change written [changeMillis] after the interruption's end. */
    private fun latenessMillis(
        interruption: Interruption,
        offsetMillis: Long,
        durationMillis: Long,
        changeMillis: Long,
    ): Long {
        var lateness = Long.MAX_VALUE
        runTest {
            val startMillis = START_MILLIS + offsetMillis
            val endMillis = startMillis + durationMillis
            val writtenMillis = maxOf(startMillis, endMillis + changeMillis)
            val network = UnreliableNetwork { currentTime }
            network.write("op/other", 0)
            network.write(CHANGED, writtenMillis)
            interruption.paths.forEach { network.interruptions += it to startMillis..endMillis }
            val adopted = watch(network)
            advanceTimeBy(startMillis)
            network.silencedIdleConnections = interruption.silencedIdle
            while (adopted() == null && currentTime < LIMIT_MILLIS) advanceTimeBy(POLL_MILLIS)
            lateness = (adopted() ?: LIMIT_MILLIS) - maxOf(endMillis + CONTACT_MILLIS, writtenMillis + IN_FORCE_MILLIS)
        }
        return lateness
    }

    /** Starts a process that is registered and watches the configuration; returns when it adopted the change. */
    private fun TestScope.watch(network: UnreliableNetwork): () -> Long? {
        var adoptedAtMillis: Long? = null
        val clock = clockOf(this)
        val settings = WatchSettings()
        val members = (RELAYS + "self:1").map { member(it) }.associateBy { it.id }
        val peers = network.Peers(settings.marginMillis)
        val failover = RelayFailover(NodeId("self"), { MemberList(members) }, peers, clock, Random(SEED))
        val direct = network.Driver(UnreliableNetwork.DIRECT, settings.marginMillis)
        val outages = StoreOutages(clock, settings.outageMillis)
        val store = RelayedStore(direct, direct, failover, outages)
        val timing =
            WatchTiming(
                settings.configurationWaitMillis,
                { settings.configurationPauseMillis },
                0,
                { outages.endedAtMillis },
                settings.retryMillis,
            )
        PrefixWatcher("op/", store, store, clock, timing) { entries ->
            if (CHANGED in entries && adoptedAtMillis == null) adoptedAtMillis = currentTime
        }.start(backgroundScope)
        Registration(store, clock, LEASE_SECONDS) { member("self:1") }.start(backgroundScope)
        return { adoptedAtMillis }
    }

    private fun member(address: String) =
        GatewayMember(NodeId(address.substringBefore(':')), 1, DataCentre("x"), address, ready = true)

    private fun clockOf(scope: TestScope) =
        object : Clock {
            override fun monotonicMillis(): Long = scope.currentTime

            override fun wallMillis(): Long = scope.currentTime
        }

    private companion object {
        private val RELAYS = (1..8).map { "relay$it:1" }
        private const val CHANGED = "op/config"
        private const val SEED = 1
        private const val LEASE_SECONDS = 3L
        private const val START_MILLIS = 10_000L
        private const val LIMIT_MILLIS = 40_000L
        private const val POLL_MILLIS = 10L
        private const val OFFSETS_MILLIS = 3_200L
        private const val STEP_MILLIS = 400L
        private const val FINE_STEP_MILLIS = 40L
        private val DURATIONS_MILLIS = listOf(300L, 900L, 1_500L, 2_500L, 4_000L, 6_000L)
        private val CHANGES_MILLIS = listOf(-200L, 1_000L)

        /** The platform's bounds: a VM counts as connected this long after its paths work again. */
        private const val CONTACT_MILLIS = 3_000L

        /** Within this time after its acknowledgement a change is in force. */
        private const val IN_FORCE_MILLIS = 2_000L
    }
}
