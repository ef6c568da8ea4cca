package bergamotwall.gateway.members

import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.model.DataCentre
import bergamotwall.model.NodeId
import bergamotwall.runtime.Clock
import bergamotwall.standins.fakes.MemoryKeyValueStore
import com.github.michaelbull.result.get
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
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

    private fun clockOf(scope: TestScope) =
        object : Clock {
            override fun monotonicMillis(): Long = scope.currentTime

            override fun wallMillis(): Long = scope.currentTime
        }

    private companion object {
        private val KEY = GatewayKeys.member(NodeId("self"))
    }
}
