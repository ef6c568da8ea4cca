package bergamotwall.gateway.members

import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.Write
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.gateway.store.LateStore
import bergamotwall.model.DataCentre
import bergamotwall.model.Jsons
import bergamotwall.model.NodeId
import bergamotwall.runtime.Clock
import bergamotwall.standins.fakes.MemoryKeyValueStore
import com.github.michaelbull.result.get
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against a process that runs and accepts work while it is not registered, or is with what it was earlier. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class RegistrationEndsUnnoticedTest {
    private var self = GatewayMember(NodeId("self"), 2, DataCentre("x"), "self:1", ready = true)

    @ParameterizedTest(name = "write {0} is carried out {1} ms late")
    @CsvSource("1, 100", "1, 600", "1, 2000", "1, 2900", "1, 6000", "2, 100", "2, 600", "2, 2000", "2, 6000")
    fun `a late write replaces no later one`(
        lateWrite: Int,
        lateMillis: Long,
    ) = runTest {
        val memory = MemoryKeyValueStore(clockOf(this))
        val store = LateStore(memory, backgroundScope)
        var writes = 0
        store.lateMillis = { if (++writes == lateWrite) lateMillis else null }
        val registration = Registration(store, clockOf(this), LEASE_SECONDS) { self }
        registration.start(backgroundScope)
        advanceTimeBy(FIRST_CHANGE_MILLIS)
        // The second change comes while the outcome of the write for the first one is not known.
        listOf(false, true).forEach { ready ->
            self = self.copy(ready = ready)
            registration.changed()
            advanceTimeBy(SECOND_CHANGE_MILLIS)
        }
        expectRegistered(memory)
    }

    @ParameterizedTest(name = "the write of an earlier incarnation is carried out after {0} ms")
    @CsvSource("0", "100", "1500")
    fun `the late write of an earlier incarnation does not end the registration`(lateMillis: Long) =
        runTest {
            val memory = MemoryKeyValueStore(clockOf(this))
            val earlier = LateStore(memory, backgroundScope)
            earlier.lateMillis = { lateMillis }
            val former = self.copy(incarnation = 1)
            val registration = Registration(earlier, clockOf(this), LEASE_SECONDS) { former }
            val step = launch { registration.step() }
            advanceTimeBy(20)
            step.cancel()
            Registration(memory, clockOf(this), LEASE_SECONDS) { self }.start(backgroundScope)
            expectRegistered(memory)
        }

    @Test
    fun `a write that is carried out late after the end does not register the process again`() =
        runTest {
            val memory = MemoryKeyValueStore(clockOf(this))
            val store = LateStore(memory, backgroundScope)
            store.lateMillis = { LATE_MILLIS }
            val registration = Registration(store, clockOf(this), LEASE_SECONDS) { self }
            registration.step()
            registration.end()
            repeat(SAMPLES) {
                advanceTimeBy(SAMPLE_MILLIS)
                expectThat(memory.get(KEY).get()).isNull()
            }
        }

    /** Processes of another build write without a condition, and other writers may remove the key. */
    @ParameterizedTest(name = "another writer {0} the registration")
    @CsvSource("replaces", "removes")
    fun `a registration that is gone is written again`(change: String) =
        runTest {
            val memory = MemoryKeyValueStore(clockOf(this))
            var listed: GatewayMember? = null
            var listedAtMillis = 0L
            val registration =
                Registration(memory, clockOf(this), LEASE_SECONDS, { it < listedAtMillis && listed != self }) { self }
            registration.start(backgroundScope)
            advanceTimeBy(FIRST_CHANGE_MILLIS)
            changeRegistration(memory, change)
            repeat(SAMPLES) {
                // A watch that is a while behind.
                val next = registered(memory)
                advanceTimeBy(SAMPLE_MILLIS)
                listed = next
                listedAtMillis = currentTime - SAMPLE_MILLIS
                registration.changed()
            }
            expectRegistered(memory)
        }

    private suspend fun changeRegistration(
        store: KeyValueStore,
        change: String,
    ) {
        val write =
            if (change == "removes") {
                Write.Delete(KEY)
            } else {
                val value = Jsons.wire.encodeToString(GatewayMember.serializer(), self.copy(incarnation = 1))
                Write.Put(KEY, value, store.grantLease(LEASE_SECONDS).get())
            }
        store.commit(Transaction(emptyList(), listOf(write)))
    }

    private suspend fun TestScope.expectRegistered(store: KeyValueStore) {
        advanceTimeBy(SETTLE_MILLIS)
        repeat(SAMPLES) {
            advanceTimeBy(SAMPLE_MILLIS)
            expectThat(registered(store)).isEqualTo(self)
        }
    }

    private suspend fun registered(store: KeyValueStore): GatewayMember? =
        store.get(KEY).get()?.let { Jsons.wire.decodeFromString(GatewayMember.serializer(), it.value) }

    private fun clockOf(scope: TestScope) =
        object : Clock {
            override fun monotonicMillis(): Long = scope.currentTime

            override fun wallMillis(): Long = scope.currentTime
        }

    private companion object {
        private val KEY = GatewayKeys.member(NodeId("self"))
        private const val LEASE_SECONDS = 3L
        private const val FIRST_CHANGE_MILLIS = 1_500L
        private const val SECOND_CHANGE_MILLIS = 100L
        private const val LATE_MILLIS = 1_000L
        private const val SETTLE_MILLIS = 1_500L
        private const val SAMPLE_MILLIS = 100L
        private const val SAMPLES = 150
    }
}
