package bergamotwall.decisions.membership

import bergamotwall.model.NodeId
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

internal class FollowerTrustTest {
    private val trust = FollowerTrust(firstAvoidMillis = 2_000, maxAvoidMillis = 10_000)
    private val a = NodeId("a")
    private val b = NodeId("b")

    @ParameterizedTest(name = "after {0} failures it is asked again after {1} ms")
    @CsvSource("1, 2000", "2, 4000", "3, 8000", "4, 10000", "40, 10000")
    fun `a follower that failed is avoided for a while`(
        failures: Int,
        avoidedMillis: Long,
    ) {
        repeat(failures) { trust.failed(a, 0) }
        expectThat(trust.usable(listOf(a, b), avoidedMillis - 1)).containsExactly(b)
        expectThat(trust.usable(listOf(a, b), avoidedMillis)).containsExactly(a, b)
    }

    /** Guards against long polls over a path that carries nothing. */
    @Test
    fun `only the follower that responded last gets long polls`() {
        expectThat(trust.trusts(a)).isFalse()
        trust.succeeded(a)
        expectThat(trust.trusts(a)).isTrue()
        trust.succeeded(b)
        expectThat(trust.trusts(a)).isFalse()
        trust.failed(b, 0)
        expectThat(trust.trusts(b)).isFalse()
    }

    /** Guards against a reader that alternates for ever between a short poll that works and a long one that fails. */
    @Test
    fun `failures are forgotten after a long poll only`() {
        trust.failed(a, 0)
        trust.succeeded(a)
        trust.failed(a, 10_000)
        expectThat(trust.usable(listOf(a), 13_999)).isEqualTo(emptyList())
        repeat(2) { trust.succeeded(a) }
        trust.failed(a, 20_000)
        expectThat(trust.usable(listOf(a), 22_000)).containsExactly(a)
    }
}
