package bergamotwall.gateway.store

import bergamotwall.gateway.members.GatewayMember
import bergamotwall.gateway.members.MemberList
import bergamotwall.model.DataCentre
import bergamotwall.model.NodeId
import bergamotwall.model.StoreFailure
import bergamotwall.model.StoreFailureKind
import bergamotwall.model.StoreGet
import bergamotwall.standins.fakes.ManualClock
import bergamotwall.standins.fakes.MemoryPeers
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isTrue
import kotlin.random.Random

/** A relayed call ends, also if a relay's response arrives just as the next relay is tried. */
internal class RelayedCallNeverEndsTest {
    private val peers = MemoryPeers()
    private val members =
        (0..RELAYS).map { GatewayMember(NodeId("n$it"), 1, DataCentre("x"), "n$it:1") }.associateBy { it.id }

    @ParameterizedTest(name = "first response after {0} ms")
    @ValueSource(longs = [50, 100, 150, 200, 250, 300, 350, 400])
    fun `a call ends if no relay reaches the service`(firstMillis: Long) =
        runTest {
            OTHER_MILLIS.forEach { otherMillis ->
                val relays = Relays(NodeId("n0"), { MemberList(members) }, peers, ManualClock(), Random(1))
                var requests = 0
                members.values.forEach { member ->
                    peers.connect(member.peerAddress) { _, _ ->
                        delay(if (requests++ == 0) firstMillis else otherMillis)
                        unavailable
                    }
                }
                val response =
                    withTimeoutOrNull(LIMIT_MILLIS) { relays.request(StoreGet("k"), TIMEOUT_MILLIS, retryable = true) }
                expectThat(response?.isErr ?: false).describedAs("others after $otherMillis ms").isTrue()
            }
        }

    private companion object {
        private const val RELAYS = 6
        private const val TIMEOUT_MILLIS = 800L
        private const val LIMIT_MILLIS = 60_000L
        private val OTHER_MILLIS = listOf(50L, 100L, 150L, 200L, 250L, 300L)
        private val unavailable = StoreFailure(StoreFailureKind.UNAVAILABLE, "down", mayHaveApplied = false)
    }
}
