package bergamotwall.entry

import bergamotwall.model.DispatchPolicy
import bergamotwall.model.Finished
import bergamotwall.model.Granted
import bergamotwall.model.Offer
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.TargetId
import bergamotwall.model.Vm
import bergamotwall.model.VmRole
import bergamotwall.runtime.Node
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.toResultOr
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Baselines for experiments: a permit at once, for a target chosen without queue, priority or report. */
internal class BaselinePermits(private val node: Node, private val policy: DispatchPolicy) : PermitSource {
    private val next = AtomicInteger()
    private val outstanding = ConcurrentHashMap<TargetId, AtomicInteger>()

    override suspend fun acquire(
        offer: Offer,
        trace: String?,
    ): Result<Granted, Problem> {
        val vms = node.board.vmList.read().vms.filter { it.role != VmRole.NODE && !it.leaving }
        val serving = vms.filter { it.serves == offer.serves }
        val others = serving.filter { TargetId(it.id) !in offer.excluded }
        return choose(others.ifEmpty { serving })
            .toResultOr { Problem(ProblemKind.UNAVAILABLE, "no target serves ${offer.serves}") }
            .map { vm ->
                count(TargetId(vm.id)).incrementAndGet()
                Granted(TargetId(vm.id), vm.address)
            }
    }

    override fun finish(finished: Finished) {
        count(finished.target).decrementAndGet()
    }

    private fun choose(vms: List<Vm>): Vm? =
        when {
            vms.isEmpty() -> null
            policy == DispatchPolicy.ROUND_ROBIN -> vms[Math.floorMod(next.getAndIncrement(), vms.size)]
            else -> vms.minBy { count(TargetId(it.id)).get() }
        }

    private fun count(target: TargetId): AtomicInteger = outstanding.computeIfAbsent(target) { AtomicInteger() }
}
