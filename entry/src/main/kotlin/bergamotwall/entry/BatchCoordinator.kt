package bergamotwall.entry

import bergamotwall.decisions.admission.TailEstimator
import bergamotwall.model.Batch
import bergamotwall.model.BatchOrder
import bergamotwall.model.Member
import bergamotwall.model.Problem
import bergamotwall.model.TrainerIntent
import bergamotwall.model.TrainerName
import bergamotwall.model.TrainerStatus
import bergamotwall.runtime.Node
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap

/** Response to a trainer's order for a batch. */
internal sealed interface BatchResponse {
    /** The batch is complete and delivered with the response. */
    data class Ready(val batch: Batch) : BatchResponse

    /** The batch is not yet complete: [ready] of [wanted] samples are. The trainer is to send the order again. */
    data class Pending(val ready: Int, val wanted: Int) : BatchResponse

    /** The batches of this trainer are assembled by [member]. */
    data class OwnedBy(val member: Member) : BatchResponse

    /** The order cannot be fulfilled. */
    data class Refused(val problem: Problem) : BatchResponse
}

/**
 * Assembles the batches of the trainers that this entry owns. An order that is sent again joins the job that is already
 * running for it; a different order cancels that job.
 */
internal class BatchCoordinator(
    private val node: Node,
    private val fleet: FleetView,
    private val groups: GroupRunner,
    private val stores: SampleStores,
    private val manifests: Manifests,
    private val scorer: SampleScorer,
) {
    private class Running(val number: Long, val hash: Long, val result: Deferred<Result<Batch, Problem>>)

    private val running = ConcurrentHashMap<TrainerName, Running>()
    private val stats = ConcurrentHashMap<TrainerName, TrainerStatsRef>()
    private val tails = ConcurrentHashMap<TrainerName, TailEstimator>()

    suspend fun order(
        trainer: TrainerIntent,
        number: Long,
        order: BatchOrder,
    ): BatchResponse {
        val owner = fleet.owner("trainer/${trainer.name.value}")
        return if (owner != null && owner.id != node.id) BatchResponse.OwnedBy(owner) else await(trainer, number, order)
    }

    private suspend fun await(
        trainer: TrainerIntent,
        number: Long,
        order: BatchOrder,
    ): BatchResponse {
        val job = join(trainer, number, order)
        val result = withTimeoutOrNull(LONG_POLL_MILLIS) { job.result.await() }
        if (result != null) running.remove(trainer.name, job)
        val current = statsOf(trainer.name).get()
        return result?.fold({ BatchResponse.Ready(it) }, { BatchResponse.Refused(it) })
            ?: BatchResponse.Pending(current.ready, current.wanted)
    }

    fun status(): List<TrainerStatus> = stats.values.map { it.get().status(node.clock.monotonicMillis()) }

    private fun join(
        trainer: TrainerIntent,
        number: Long,
        order: BatchOrder,
    ): Running {
        val hash = orderHash(order)
        return running.compute(trainer.name) { _, current ->
            if (current != null && current.number == number && current.hash == hash) return@compute current
            current?.result?.cancel()
            val dependencies =
                BatchDependencies(
                    node,
                    groups,
                    stores,
                    manifests,
                    tails.computeIfAbsent(trainer.name) { TailEstimator() },
                    scorer,
                )
            val job = BatchJob(dependencies, trainer, number, order, statsOf(trainer.name))
            Running(number, hash, node.scope.async { job.run() })
        }!!
    }

    private fun statsOf(name: TrainerName): TrainerStatsRef =
        stats.computeIfAbsent(name) { TrainerStatsRef(TrainerStats(name, node.clock.monotonicMillis())) }

    private companion object {
        private const val LONG_POLL_MILLIS = 10_000L
    }
}
