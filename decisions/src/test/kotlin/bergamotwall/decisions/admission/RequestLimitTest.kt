package bergamotwall.decisions.admission

import bergamotwall.model.NodeId
import bergamotwall.model.TargetId
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

internal class RequestLimitTest {
    private val target = TargetId("t")

    @ParameterizedTest(name = "{0} entries, {1} owners, limit {2}")
    @CsvSource(
        "1, 0, 1.0",
        "9, 0, 0.0",
        "9, 0, 0.4",
        "9, 0, 1.0",
        "9, 0, 50.0",
        "9, 1, 1.0",
        "0, 1, 12.0",
        "0, 3, 2.5",
        "73, 0, 1.0",
        "73, 2, 7.5",
        "320, 0, 100.0",
    )
    fun `all processes together stay within the limit in any 4 s`(
        entries: Int,
        owners: Int,
        perSecond: Double,
    ) {
        val senders = LimitSenders(nodes("e", entries), nodes("o", owners))
        val shares = (senders.entries + senders.owners).map { rateShareOf(target, perSecond, senders, it) }
        val most = shares.sumOf { (it.burst + it.perSecond * 4).toInt() }
        expectThat(most.toDouble()).isLessThanOrEqualTo(1.5 * 4 * perSecond + 5)
        expectThat(shares.sumOf { it.perSecond } >= perSecond * 0.999).isEqualTo(true)
    }

    @ParameterizedTest(name = "part {0} a second, at once {1}: after {2} ms {3} requests, else in {4} ms")
    @CsvSource(
        "1.0, 1.0, 0, 0, 1000",
        "1.0, 1.0, 900, 0, 100",
        "1.0, 1.0, 1000, 1, 0",
        "1.0, 1.0, 9000, 1, 0",
        "4.0, 4.0, 600, 2, 0",
        "0.0, 0.0, 9000, 0, 9223372036854775807",
    )
    fun `a process sends as many requests as its part has become`(
        perSecond: Double,
        burst: Double,
        atMillis: Long,
        admitted: Int,
        waitMillis: Long,
    ) {
        val limit = RequestLimit(1.0, namedAtMillis = 0)
        val share = RateShare(perSecond, burst)
        expectThat(limit.admitted(share, atMillis)).isEqualTo(admitted)
        expectThat(limit.waitMillis(share, atMillis)).isEqualTo(waitMillis)
    }

    @Test
    fun `what was sent is charged, also after the target has named another limit`() {
        val share = RateShare(1.0, 2.0)
        val limit = RequestLimit(1.0, namedAtMillis = 0).sent(share, 2_000).named(3.0, 2_100)
        expectThat(limit.admitted(share, 2_500)).isEqualTo(1)
        expectThat(limit.sent(share, 2_500).admitted(share, 2_600)).isEqualTo(0)
    }

    @ParameterizedTest(name = "{0}: part {1} for items")
    @CsvSource("o1, 6.0", "guest, 1.5")
    fun `a process that has taken over a batch can run its items`(
        self: String,
        expected: Double,
    ) {
        val senders = LimitSenders(emptySet(), nodes("o", 2))
        val share = rateShareOf(target, 12.0, senders, NodeId(self))
        expectThat(guestShareOf(12.0, share).perSecond).isEqualTo(expected)
    }

    private fun nodes(
        prefix: String,
        count: Int,
    ): Set<NodeId> = (1..count).mapTo(HashSet()) { NodeId("$prefix$it") }
}
