package bergamotwall.entry

import bergamotwall.decisions.ownerOf
import bergamotwall.decisions.placement.DispatchTarget
import bergamotwall.decisions.placement.shardCount
import bergamotwall.decisions.placement.shardName
import bergamotwall.decisions.placement.shardOfPrefix
import bergamotwall.decisions.placement.shardOfTarget
import bergamotwall.model.Configuration
import bergamotwall.model.Member
import bergamotwall.model.MemberState
import bergamotwall.model.NodeRole
import bergamotwall.model.TargetId
import bergamotwall.model.Vm
import bergamotwall.model.VmList
import bergamotwall.model.VmRole
import bergamotwall.runtime.FleetState
import java.util.concurrent.atomic.AtomicReference

/**
 * The dispatch shards, their owners and their targets, as derived from the fleet state. The derived values are cached
 * until the state that they are derived from changes.
 */
internal class FleetView(private val fleetState: FleetState) {
    private class Targets(val vmList: VmList, val configuration: Configuration) {
        val countOf: Map<String, Int>
        val shards: Map<String, List<DispatchTarget>>

        init {
            val vms = vmList.vms.filter { it.role != VmRole.NODE }
            countOf = vms.groupingBy { it.serves }.eachCount()
            shards = vms.groupBy { shardOf(it) }.mapValues { (_, shard) -> shard.map(::target) }
        }

        private fun shardOf(vm: Vm): String =
            shardName(vm.serves, shardOfTarget(TargetId(vm.id), shardCount(countOf.getValue(vm.serves))))

        private fun target(vm: Vm): DispatchTarget =
            DispatchTarget(TargetId(vm.id), vm.address, vm.dataCentre, vm.leaving || configuration.drains(vm.id))
    }

    private class Owners(val members: List<Member>) {
        private val entries = members.filter { it.role == NodeRole.ENTRY && it.state == MemberState.ALIVE }
        private val byId = entries.associateBy { it.id }

        fun of(key: String): Member? = ownerOf(key, byId.keys)?.let { byId[it] }
    }

    private val targets = AtomicReference(Targets(VmList(), Configuration()))
    private val owners = AtomicReference(Owners(emptyList()))

    /** Targets of each shard, by shard name. */
    fun shards(): Map<String, List<DispatchTarget>> = current().shards

    /** Shard that a request for [serves] with [prefix] belongs to, or null if nothing serves it. */
    fun shardFor(
        serves: String,
        prefix: Long,
    ): String? {
        val derived = current()
        val count = shardCount(derived.countOf[serves] ?: return null)
        val preferred = shardName(serves, shardOfPrefix(prefix, count))
        return preferred.takeIf { it in derived.shards } ?: firstNonEmptyShard(serves, count, derived)
    }

    /** The entry that owns [key], which names a dispatch shard, a trainer or a receipt shard; null if none is alive. */
    fun owner(key: String): Member? {
        val members = fleetState.members.read()
        val derived = owners.updateAndGet { if (it.members === members) it else Owners(members) }
        return derived.of(key)
    }

    /** Sample stores that can be written to. */
    fun sampleStores(): List<Member> =
        fleetState.members.read().filter { it.role == NodeRole.SAMPLES && it.state <= MemberState.LEAVING }

    /** Requests for a shard to which hashing assigned no target go to the first shard that has one. */
    private fun firstNonEmptyShard(
        serves: String,
        count: Int,
        derived: Targets,
    ): String? = (0 until count).map { shardName(serves, it) }.firstOrNull { it in derived.shards }

    private fun current(): Targets {
        val vmList = fleetState.vmList.read()
        val configuration = fleetState.configuration.read()
        return targets.updateAndGet {
            if (it.vmList === vmList && it.configuration === configuration) it else Targets(vmList, configuration)
        }
    }
}
