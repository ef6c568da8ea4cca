package bergamotwall.decisions.membership

import bergamotwall.model.NodeId
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isIn

internal class FollowerChoiceTest {
    @ParameterizedTest(name = "of {0} processes {1} are chosen")
    @CsvSource("0, 0", "1, 1", "2, 2", "3, 2", "90, 2")
    fun `at most two processes are chosen`(
        processes: Int,
        chosen: Int,
    ) {
        expectThat(followersOf(candidates(processes, 1.0))).hasSize(chosen)
    }

    @Test
    fun `the loss of a process that was not chosen changes nothing, and that of a chosen one only its own place`() {
        val all = candidates(90, 0.3)
        val chosen = followersOf(all)
        all.forEach { lost ->
            val remaining = followersOf(all - lost)
            expectThat(remaining.count { it in chosen }).isEqualTo(if (lost in chosen) 1 else 2)
        }
    }

    /** Guards against choosing small VMs for the load of many readers as often as large ones. */
    @Test
    fun `processes are chosen by their share of a processor`() {
        val fleets = (1..1_000).map { fleet -> candidates(1, 1.2, "large$fleet") + candidates(1, 0.3, "small$fleet") }
        val largeFirst = fleets.count { followersOf(it).first().cores > 1.0 }
        expectThat(largeFirst).isIn(750..850)
    }

    @Test
    fun `readers are spread over the followers`() {
        val followers = candidates(2, 1.0)
        val first = (1..1_000).map { followerOrder(NodeId("reader$it"), followers).first() }
        expectThat(first.count { it == followers.first().id }).isIn(440..560)
    }

    private fun candidates(
        count: Int,
        cores: Double,
        name: String = "p",
    ) = (1..count).map { FollowerCandidate(NodeId("$name$it"), cores) }
}
