package bergamotwall.controller

import bergamotwall.model.DataCentre
import bergamotwall.model.Member
import bergamotwall.model.MemberState
import bergamotwall.model.NodeId
import bergamotwall.model.NodeRole
import bergamotwall.model.Settings
import bergamotwall.runtime.Node
import bergamotwall.runtime.NodeDrivers
import bergamotwall.standins.fakes.ManualClock
import bergamotwall.standins.fakes.MemoryKeyValueStore
import bergamotwall.standins.fakes.MemoryPeers
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class CandidatesTest {
    @ParameterizedTest(name = "{0} controllers, {1} of them dead: {2} candidates")
    @CsvSource("320, 0, 3", "320, 300, 3", "2, 0, 2", "9, 1, 3")
    fun `the number of candidates does not grow with the fleet`(
        controllers: Int,
        dead: Int,
        candidates: Int,
    ) {
        val clock = ManualClock()
        val members = List(controllers) { member(it, if (it < dead) MemberState.DEAD else MemberState.ALIVE) }
        val chosenCount =
            members.filter { it.state == MemberState.ALIVE }.count { member ->
                val settings = Settings(member.id, DataCentre("d"), "h:1", "h:2", "h:3", "h:4")
                val drivers = NodeDrivers(clock, MemoryKeyValueStore(clock), MemoryPeers())
                val node = Node(settings, NodeRole.CONTROLLER, drivers)
                node.fleetState.members.update { members }
                node.isCandidate("rollout/m", 3)
            }
        expectThat(chosenCount).isEqualTo(candidates)
    }

    private fun member(
        index: Int,
        state: MemberState,
    ): Member = Member(NodeId("c$index"), NodeRole.CONTROLLER, DataCentre("d"), "p:$index", "h:$index", 1, state)
}
