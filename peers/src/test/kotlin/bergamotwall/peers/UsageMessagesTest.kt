package bergamotwall.peers

import bergamotwall.model.NodeId
import bergamotwall.model.UsageReceived
import bergamotwall.model.UsageStarts
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/** A push of starts is lost in its encoding, or takes more than the control traffic of a process allows. */
internal class UsageMessagesTest {
    @Test
    fun `messages about usage are read as they were sent`() {
        val starts =
            UsageStarts(NodeId("n"), 7, 3, listOf("v", "w"), listOf(0, 1, 1), listOf(5, 4, 3), 1, 6, 900, 1_000)
        listOf(starts, starts.copy(pendingAgeMillis = 9, relayed = true, mirrored = true), UsageReceived(6)).forEach {
            val envelope = Envelope(1, false, null, it)
            expectThat(decodeFrame(encodeFrame(envelope)).envelope).isEqualTo(envelope)
        }
    }

    @Test
    fun `a second of starts of a busy process fits into its control traffic`() {
        val workspaces = List(10) { "workspace-$it" }
        val indexes = List(40) { it % 10 }
        val push = UsageStarts(NodeId("n"), 7, 900, workspaces, indexes, List(40) { 100L }, 1, 940, 900_000, 1_000_000)
        val frame = encodeFrame(Envelope(1, false, null, push))
        // Five pushes in a second stay below 3 KB.
        expectThat(frame.size).isLessThan(600)
    }
}
