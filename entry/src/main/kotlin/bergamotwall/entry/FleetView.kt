package bergamotwall.entry

import bergamotwall.decisions.DispatchTarget
import bergamotwall.decisions.ownerOf
import bergamotwall.decisions.shardCount
import bergamotwall.decisions.shardName
import bergamotwall.decisions.shardOfPrefix
import bergamotwall.decisions.shardOfTarget
import bergamotwall.model.Member
import bergamotwall.model.MemberState
import bergamotwall.model.NodeRole
import bergamotwall.model.TargetId
import bergamotwall.model.Vm
import bergamotwall.model.VmRole
import bergamotwall.runtime.Blackboard

/** What an entry derives from the blackboard: shards, their owners and their targets. */
internal class FleetView(private val board: Blackboard) {
    /** Targets of every shard, by shard name. */
    fun shards(): Map<String, List<DispatchTarget>> {
        val drained = board.configuration.read()
        return targetVms()
            .groupBy { it.serves }
            .flatMap { (serves, vms) ->
                vms.groupBy { shardName(serves, shardOfTarget(TargetId(it.id), shardCount(vms.size))) }.entries
            }.associate { (shard, vms) -> shard to vms.map { target(it, drained.drains(it.id)) } }
    }

    /** Shard that a request for [serves] with [prefix] belongs to, or null if nothing serves it. */
    fun shardFor(
        serves: String,
        prefix: Long,
    ): String? {
        val count = targetVms().count { it.serves == serves }
        if (count == 0) return null
        val names = shards().keys.filter { it.substringBeforeLast('#') == serves }.sorted()
        val preferred = shardName(serves, shardOfPrefix(prefix, shardCount(count)))
        return preferred.takeIf { it in names } ?: names.firstOrNull()
    }

    /** The entry that owns [key]: a shard, a trainer or a receipt shard. */
    fun owner(key: String): Member? {
        val entries = board.members.read().filter { it.role == NodeRole.ENTRY && it.state == MemberState.ALIVE }
        val owner = ownerOf(key, entries.map { it.id })
        return entries.find { it.id == owner }
    }

    /** Sample stores that can be written to. */
    fun sampleStores(): List<Member> =
        board.members.read().filter { it.role == NodeRole.SAMPLES && it.state <= MemberState.LEAVING }

    private fun targetVms(): List<Vm> = board.vmList.read().vms.filter { it.role != VmRole.NODE }

    private fun target(
        vm: Vm,
        drained: Boolean,
    ): DispatchTarget = DispatchTarget(TargetId(vm.id), vm.address, vm.dataCentre, vm.leaving || drained)
}
