package bergamotwall.entry

import bergamotwall.model.DispatchPolicy
import bergamotwall.model.DispatchRequest
import bergamotwall.model.PermitGranted
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.RunFinished
import bergamotwall.model.TargetId
import bergamotwall.model.Vm
import bergamotwall.model.VmRole
import bergamotwall.runtime.Node
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.toResultOr
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/**
 * Baseline policies for experiments: grants a permit at once, for a target chosen without queueing, priorities or
 * target reports.
 */
internal class BaselinePermitSource(private val node: Node, private val policy: DispatchPolicy) : PermitSource {
    private val next = AtomicInteger()
    private val outstanding = ConcurrentHashMap<TargetId, AtomicInteger>()

    override suspend fun acquire(
        request: DispatchRequest,
        trace: String?,
    ): Result<PermitGranted, Problem> {
        val vms = node.fleetState.vmList.read().vms.filter { it.role != VmRole.NODE && !it.leaving }
        val serving = vms.filter { it.serves == request.serves }
        val notExcluded = serving.filter { TargetId(it.id) !in request.excluded }
        return choose(notExcluded.ifEmpty { serving })
            .toResultOr { Problem(ProblemKind.UNAVAILABLE, "no target serves ${request.serves}") }
            .map { vm ->
                outstandingOf(TargetId(vm.id)).incrementAndGet()
                PermitGranted(TargetId(vm.id), vm.address)
            }
    }

    override fun finish(finished: RunFinished) {
        outstandingOf(finished.target).decrementAndGet()
    }

    private fun choose(vms: List<Vm>): Vm? =
        when {
            vms.isEmpty() -> null
            policy == DispatchPolicy.ROUND_ROBIN -> vms[Math.floorMod(next.getAndIncrement(), vms.size)]
            else -> vms.minBy { outstandingOf(TargetId(it.id)).get() }
        }

    private fun outstandingOf(target: TargetId): AtomicInteger = outstanding.computeIfAbsent(target) { AtomicInteger() }
}
