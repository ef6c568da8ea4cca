package bergamotwall.gateway.streams

import bergamotwall.drivers.KeyValueEntry
import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.GatewayState
import bergamotwall.gateway.routes.Route
import bergamotwall.gateway.routes.RouteKind
import bergamotwall.gateway.routes.RouteTable
import bergamotwall.gateway.routes.ServiceShare
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.gateway.store.WatchConfirmation
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetList
import bergamotwall.model.ConfigurationRevision
import bergamotwall.model.DataCentre
import bergamotwall.model.RequestId
import bergamotwall.model.ServiceName
import bergamotwall.model.SoftwareVersion
import bergamotwall.model.TargetId
import bergamotwall.runtime.Clock
import bergamotwall.standins.fakes.MemoryKeyValueStore
import com.github.michaelbull.result.get
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random

/** Two processes, `a` and `b`, that share a key-value service. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class SharedStreamOriginsTest {
    @Test
    fun `a stream may begin only at versions on record`() =
        runTest {
            val a = process()
            setTargets("v1")
            expectThat(a.mayBeginAt(target("v1"))).isFalse()
            record(a)
            expectThat(a.mayBeginAt(target("v1"))).isTrue()
            setTargets("v1", "v2")
            expectThat(a.mayBeginAt(target("v2"))).isFalse()
            record(a)
            expectThat(a.mayBeginAt(target("v2"))).isTrue()
        }

    @ParameterizedTest(name = "versions {0}, then {1}: {2} records")
    @CsvSource("v1, v1, 0", "v1 v2, v1 v2, 1", "v1, v1 v2, 1", "v1, v2, 1", "v1 v2, v1, 1")
    fun `origins are recorded while several versions serve, or did so lately`(
        first: String,
        then: String,
        records: Int,
    ) = runTest {
        val a = process()
        setTargets(*first.split(' ').toTypedArray())
        record(a)
        a.began(STREAM, target("v1"), setOf(SERVICE))
        a.publish()
        setTargets(*then.split(' ').toTypedArray())
        record(a)
        a.publish()
        expectThat(entries(StreamKeys.ORIGINS).keys).hasSize(records)
        // Written once.
        val written = entries(StreamKeys.ORIGINS)
        a.publish()
        expectThat(entries(StreamKeys.ORIGINS)).isEqualTo(written)
        expectThat(process().find(STREAM, setOf(SERVICE))).isEqualTo(ORIGIN)
    }

    @Test
    fun `a stream without a record is unknown once another version has served`() =
        runTest {
            val a = process()
            setTargets("v1")
            record(a)
            a.began(STREAM, target("v1"), setOf(SERVICE))
            setTargets("v2")
            val b = process()
            record(b)
            expectThat(b.find(STREAM, setOf(SERVICE))).isNull()
            expectThat(a.find(STREAM, setOf(SERVICE))).isEqualTo(ORIGIN)
            delay(SETTINGS.retentionMillis)
            expectThat(b.find(STREAM, setOf(SERVICE))).isEqualTo(StreamOrigin(SERVICE, SoftwareVersion("v2")))
        }

    @ParameterizedTest(name = "versions {0}: {1}")
    @CsvSource("v1, v1", "v1 v2, ''")
    fun `a stream whose first request is not named is known while one version serves`(
        versions: String,
        expected: String,
    ) = runTest {
        val a = process()
        setTargets(*versions.split(' ').toTypedArray())
        record(a)
        expectThat(a.find(null, setOf(SERVICE))?.softwareVersion?.value.orEmpty()).isEqualTo(expected)
    }

    @Test
    fun `a route with several services needs a record`() =
        runTest {
            val a = process()
            setTargets("v1")
            record(a)
            val services = setOf(SERVICE, ServiceName("other"))
            expectThat(process().find(STREAM, services)).isNull()
            a.began(STREAM, target("v1"), services)
            a.publish()
            expectThat(process().find(STREAM, services)).isEqualTo(ORIGIN)
        }

    @Test
    fun `a resumed stream waits for a record that is about to be written`() =
        runTest {
            val a = process()
            setTargets("v1", "v2")
            record(a)
            a.began(STREAM, target("v1"), setOf(SERVICE))
            val found = async { process().find(STREAM, setOf(SERVICE)) }
            delay(SETTINGS.pendingMillis / 2)
            a.publish()
            expectThat(found.await()).isEqualTo(ORIGIN)
        }

    @Test
    fun `a process without the key-value service knows its own streams only`() =
        runTest {
            val a = process()
            setTargets("v1", "v2")
            record(a)
            a.began(STREAM, target("v1"), setOf(SERVICE))
            store().down = true
            expectThat(a.publish()).isFalse()
            expectThat(a.find(STREAM, setOf(SERVICE))).isEqualTo(ORIGIN)
            expectThat(process().find(STREAM, setOf(SERVICE))).isNull()
            store().down = false
            expectThat(a.publish()).isTrue()
            expectThat(process().find(STREAM, setOf(SERVICE))).isEqualTo(ORIGIN)
        }

    @Test
    fun `services without resumable streams have no history`() =
        runTest {
            val a = process()
            setTargets("v1")
            state.routes.update { RouteTable(ConfigurationRevision(2), listOf(ROUTE.copy(resumable = false))) }
            record(a)
            expectThat(entries(StreamKeys.HISTORIES).keys).isEmpty()
        }

    @ParameterizedTest(name = "list of targets confirmed {0} ms after the history was seen: the new version serves {1}")
    @CsvSource("-3000, true", "0, true", "1, false")
    fun `a process out of step does not declare a version gone that others have seen`(
        confirmedAfterMillis: Long,
        serves: Boolean,
    ) = runTest {
        val a = process()
        setTargets("v1", "v2")
        record(a)
        val outOfStep = GatewayState().also { it.routes.update { state.routes.read() } }
        outOfStep.targets.update { TargetList(listOf(target("v1")).associateBy { it.id }) }
        val seenAtMillis = currentTime
        val b = process(outOfStep) { confirmedAt(seenAtMillis + confirmedAfterMillis) }
        b.publish()
        a.onStoreChanged(entries(GatewayKeys.LIVE))
        expectThat(a.mayBeginAt(target("v2"))).isEqualTo(serves)
        // Whatever it declares, a stream of either version is not continued at the other one.
        expectThat(process().find(STREAM, setOf(SERVICE))).isNull()
    }

    @ParameterizedTest(name = "confirmed {0} ms ago, suspended for {1} ms since: continues {2}")
    @CsvSource("0, 0, true", "4500, 0, true", "6000, 0, false", "100, 6000, false", "0, 1000, true")
    fun `a process that may have missed a change of the targets resumes no stream`(
        agoMillis: Long,
        suspendedMillis: Long,
        continues: Boolean,
    ) = runTest {
        val a = process()
        setTargets("v1")
        record(a)
        delay(agoMillis)
        val atMillis = currentTime - agoMillis
        val b = process { WatchConfirmation(atMillis, atMillis - suspendedMillis, 0, null) }
        expectThat(b.find(STREAM, setOf(SERVICE)) != null).isEqualTo(continues)
    }

    private fun confirmedAt(millis: Long) = WatchConfirmation(millis, millis, 0, null)

    private val state = GatewayState().also { it.routes.update { RouteTable(ConfigurationRevision(1), listOf(ROUTE)) } }
    private var memory: MemoryKeyValueStore? = null
    private var clock: Clock? = null

    private fun TestScope.clock(): Clock =
        clock ?: object : Clock {
            override fun monotonicMillis(): Long = currentTime

            override fun wallMillis(): Long = currentTime
        }.also { clock = it }

    private fun TestScope.store(): MemoryKeyValueStore = memory ?: MemoryKeyValueStore(clock()).also { memory = it }

    /** A process that has read what is stored. */
    private suspend fun TestScope.process(
        known: GatewayState = state,
        confirmation: () -> WatchConfirmation? = { confirmedAt(currentTime + 1) },
    ): SharedStreamOrigins {
        val dependencies =
            StreamOriginDependencies(store(), known, clock(), Random(1), GatewayMetrics(), confirmation)
        return SharedStreamOrigins(dependencies, SETTINGS).also { it.onStoreChanged(entries(GatewayKeys.LIVE)) }
    }

    /** Lets [process] write the histories and read what is stored. */
    private suspend fun TestScope.record(process: SharedStreamOrigins) {
        process.onStoreChanged(entries(GatewayKeys.LIVE))
        process.publish()
        process.onStoreChanged(entries(GatewayKeys.LIVE))
    }

    private suspend fun TestScope.entries(prefix: String): Map<String, KeyValueEntry> =
        store().list(prefix).get()?.entries.orEmpty().associateBy { it.key }

    private fun setTargets(vararg versions: String) {
        state.targets.update { TargetList(versions.map { target(it) }.associateBy { it.id }) }
    }

    private fun target(version: String) =
        Target(
            TargetId(
                version
            ),
            SERVICE, "$version:1", DataCentre("x"), 4, false, emptyMap(), 1, SoftwareVersion(version)
        )

    private companion object {
        private val SERVICE = ServiceName("s")
        private val STREAM = RequestId("r")
        private val ORIGIN = StreamOrigin(SERVICE, SoftwareVersion("v1"))
        private val SETTINGS = StreamSettings()
        private val ROUTE =
            Route(
                name = "r",
                host = "h",
                pathPrefix = "/stream/",
                kind = RouteKind.STREAM,
                timeoutMillis = 1_000,
                targetLatencyMillis = 500,
                priority = 1,
                maxAttempts = 3,
                resumable = true,
                shares = listOf(ServiceShare(SERVICE, 1)),
            )
    }
}
