package bergamotwall.decisions.membership

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class QuietRevisionTest {
    private val quiet = QuietRevision()

    /** Guards against a missed change: the service may drop it while it holds back a response. */
    @Test
    fun `the revision of an empty response is used once the next response is empty too`() {
        val polled = listOf(20L, 30L, 40L).map { revision ->
            quiet.pollAfter(10).also { quiet.answeredEmpty(10, revision) }
        }
        expectThat(polled + quiet.pollAfter(10)).isEqualTo(listOf(10L, 10L, 20L, 30L))
    }

    /** Guards against a poll that skips changes because the caller has listed or received others since. */
    @Test
    fun `a caller with another revision polls from its own, and so does each after a reset`() {
        repeat(3) { quiet.answeredEmpty(10, 40) }
        expectThat(listOf(quiet.pollAfter(10), quiet.pollAfter(15))).isEqualTo(listOf(40L, 15L))
        quiet.answeredEmpty(15, 50)
        expectThat(quiet.pollAfter(15)).isEqualTo(15L)
        quiet.reset()
        expectThat(quiet.pollAfter(10)).isEqualTo(10L)
    }
}
