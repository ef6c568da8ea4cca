package bergamotwall.gateway.members

import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.LeaseId
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.model.DataCentre
import bergamotwall.model.NodeId
import bergamotwall.runtime.Clock
import bergamotwall.standins.fakes.MemoryKeyValueStore
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

@OptIn(ExperimentalCoroutinesApi::class)
internal class RegistrationTest {
    private val self = GatewayMember(NodeId("self"), 1, DataCentre("x"), "self:1", ready = true)

    @Test
    fun `an ended registration is not written again`() =
        runTest {
            val store = MemoryKeyValueStore(clockOf(this))
            val registration = Registration(store, clockOf(this), 3) { self }
            registration.start(backgroundScope)
            advanceTimeBy(1_500)
            expectThat(store.get(KEY).get()).isNotNull()
            registration.end()
            registration.changed()
            repeat(20) {
                advanceTimeBy(500)
                expectThat(store.get(KEY).get()).isNull()
            }
        }

    @Test
    fun `a renewed registration persists`() =
        runTest {
            val store = MemoryKeyValueStore(clockOf(this))
            Registration(store, clockOf(this), 3) { self }.start(backgroundScope)
            advanceTimeBy(1_500)
            repeat(20) {
                advanceTimeBy(500)
                expectThat(store.get(KEY).get()).isNotNull()
            }
        }

    @ParameterizedTest(name = "{0} notices, of which the member has changed in {1}: {2} calls more")
    @CsvSource("0, 0, 0", "100, 0, 0", "100, 3, 6")
    fun `a notice without a change takes no call`(
        notices: Int,
        changes: Int,
        calls: Int,
    ) = runTest {
        fun callsWith(notify: Boolean): suspend () -> Int = {
            val store = CountedStore(MemoryKeyValueStore(clockOf(this)))
            var member = self
            val registration = Registration(store, clockOf(this), 3) { member }
            val job = registration.start(backgroundScope)
            advanceTimeBy(1_500)
            repeat(notices) { number ->
                if (number < changes) member = member.copy(ready = !member.ready)
                if (notify) registration.changed()
                advanceTimeBy(10)
            }
            advanceTimeBy(5_000)
            job.cancel()
            store.calls
        }
        expectThat(callsWith(notify = true)() - callsWith(notify = false)()).isLessThanOrEqualTo(calls)
    }

    private class CountedStore(private val store: KeyValueStore) : KeyValueStore by store {
        var calls = 0

        override suspend fun keepAlive(lease: LeaseId): Result<Unit, KeyValueError> {
            calls++
            return store.keepAlive(lease)
        }

        override suspend fun commit(transaction: Transaction): Result<TransactionOutcome, KeyValueError> {
            calls++
            return store.commit(transaction)
        }
    }

    private fun clockOf(scope: TestScope) =
        object : Clock {
            override fun monotonicMillis(): Long = scope.currentTime

            override fun wallMillis(): Long = scope.currentTime
        }

    private companion object {
        private val KEY = GatewayKeys.member(NodeId("self"))
    }
}
