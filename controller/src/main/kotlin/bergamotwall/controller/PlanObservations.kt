package bergamotwall.controller

import bergamotwall.model.Intent
import bergamotwall.model.MemberState
import bergamotwall.model.VmRole
import bergamotwall.runtime.FleetState

/** Describes the observed state of the fleet for the operator who reads a plan, as of the time of planning. */
internal class PlanObservations(private val fleetState: FleetState) {
    fun of(intent: Intent): List<String> {
        val vms = fleetState.vmList.read().vms
        val countServing = { name: String -> vms.count { it.serves == name } }
        val models = intent.models.map { "model ${it.name.value}: ${countServing(it.name.value)} replicas" }
        val services = intent.services.map { "service ${it.name.value}: ${countServing(it.name.value)} instances" }
        return models + services + memberSummary()
    }

    fun ofDrain(id: String): List<String> {
        val vms = fleetState.vmList.read().vms
        val vm = vms.find { it.id == id }
        val member = fleetState.members.read().find { it.id.value == id }
        val others = vms.count { it.serves == vm?.serves && it.id != id && !it.leaving }
        val targetOrMember =
            when {
                vm != null && vm.role != VmRole.NODE -> "$id is a target of ${vm.serves}; $others others serve it"
                member != null -> "$id is a member, ${member.state}"
                else -> "$id is unknown: the drain takes effect once it appears"
            }
        return listOf(targetOrMember) + memberSummary()
    }

    private fun memberSummary(): String {
        val members = fleetState.members.read()
        return "members: ${members.count { it.state <= MemberState.LEAVING }} of ${members.size} reachable"
    }
}
