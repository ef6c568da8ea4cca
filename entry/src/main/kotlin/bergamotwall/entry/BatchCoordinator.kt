package bergamotwall.entry

import bergamotwall.decisions.TailEstimator
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

/** Answer to a trainer's order. */
internal sealed interface BatchAnswer {
    /** The batch. */
    data class Ready(val batch: Batch) : BatchAnswer

    /** Not yet whole: order again. */
    data class Pending(val ready: Int, val wanted: Int) : BatchAnswer

    /** [member] assembles this trainer's batches. */
    data class Elsewhere(val member: Member) : BatchAnswer

    /** The order is refused. */
    data class Refused(val problem: Problem) : BatchAnswer
}

/** Assembles the batches of the trainers that this entry owns; the same order joins the job that runs for it. */
internal class BatchCoordinator(
    private val node: Node,
    private val fleet: FleetView,
    private val groups: GroupRunner,
    private val stores: SampleStores,
    private val manifests: Manifests,
) {
    private class Running(val number: Long, val hash: Long, val result: Deferred<Result<Batch, Problem>>)

    private val running = ConcurrentHashMap<TrainerName, Running>()
    private val stats = ConcurrentHashMap<TrainerName, TrainerStatsRef>()
    private val tails = ConcurrentHashMap<TrainerName, TailEstimator>()

    suspend fun order(
        trainer: TrainerIntent,
        number: Long,
        order: BatchOrder,
    ): BatchAnswer {
        val owner = fleet.owner("trainer/${trainer.name.value}")
        return if (owner != null && owner.id != node.id) BatchAnswer.Elsewhere(owner) else await(trainer, number, order)
    }

    private suspend fun await(
        trainer: TrainerIntent,
        number: Long,
        order: BatchOrder,
    ): BatchAnswer {
        val job = join(trainer, number, order)
        val result = withTimeoutOrNull(WAIT_MILLIS) { job.result.await() }
        if (result != null) running.remove(trainer.name, job)
        val current = statsOf(trainer.name).get()
        return result?.fold({ BatchAnswer.Ready(it) }, { BatchAnswer.Refused(it) })
            ?: BatchAnswer.Pending(current.ready, current.wanted)
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
            val parts =
                BatchParts(node, groups, stores, manifests, tails.computeIfAbsent(trainer.name) { TailEstimator() })
            val job = BatchJob(parts, trainer, number, order, statsOf(trainer.name))
            Running(number, hash, node.scope.async { job.run() })
        }!!
    }

    private fun statsOf(name: TrainerName): TrainerStatsRef =
        stats.computeIfAbsent(name) { TrainerStatsRef(TrainerStats(name, node.clock.monotonicMillis())) }

    private companion object {
        private const val WAIT_MILLIS = 10_000L
    }
}
