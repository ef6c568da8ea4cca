package bergamotwall.controller

import bergamotwall.model.Intent
import bergamotwall.model.MemberState
import bergamotwall.model.VmRole
import bergamotwall.runtime.Blackboard

/** What a plan tells the operator of the fleet as it is seen when the plan is made. */
internal class Observations(private val board: Blackboard) {
    fun of(intent: Intent): List<String> {
        val vms = board.vmList.read().vms
        val count = { name: String -> vms.count { it.serves == name } }
        val models = intent.models.map { "model ${it.name.value}: ${count(it.name.value)} replicas" }
        val services = intent.services.map { "service ${it.name.value}: ${count(it.name.value)} instances" }
        return models + services + membersSeen()
    }

    fun ofDrain(id: String): List<String> {
        val vms = board.vmList.read().vms
        val vm = vms.find { it.id == id }
        val member = board.members.read().find { it.id.value == id }
        val left = vms.count { it.serves == vm?.serves && it.id != id && !it.leaving }
        val seen =
            when {
                vm != null && vm.role != VmRole.NODE -> "$id is a target of ${vm.serves}; $left others serve it"
                member != null -> "$id is a member, ${member.state}"
                else -> "$id is not known: the drain takes effect if it appears"
            }
        return listOf(seen) + membersSeen()
    }

    private fun membersSeen(): String {
        val members = board.members.read()
        return "members: ${members.count { it.state <= MemberState.LEAVING }} of ${members.size} answer"
    }
}
