package bergamotwall.bench

import bergamotwall.standins.CallerOptions
import bergamotwall.standins.CallerStandIn
import bergamotwall.standins.TrainerOptions
import bergamotwall.standins.TrainerResult
import bergamotwall.standins.TrainerStandIn
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking

/** Measurements of one run of a workload. */
internal class WorkloadResult(val trainers: List<TrainerResult>, val applicationMillis: List<Long>)

/** Runs the stand-ins for trainers and an application against a local fleet. */
internal class Workload(private val mix: WorkloadMix, private val options: BenchOptions) {
    /** Runs for [BenchOptions.seconds], with the trainers of the mix or without any. */
    fun run(
        fleet: LocalFleet,
        trainers: Boolean = true,
        groups: Int = GROUPS,
    ): WorkloadResult =
        runBlocking(Dispatchers.Default) {
            val caller = async { caller(fleet).run() }
            val results =
                if (trainers) {
                    mix.stalenessBounds.indices.map { i -> async { trainer(fleet, i, groups).run() } }.awaitAll()
                } else {
                    emptyList()
                }
            WorkloadResult(results, caller.await())
        }

    private fun caller(fleet: LocalFleet): CallerStandIn {
        val options =
            CallerOptions(
                name = "app",
                key = "app-key",
                model = "model",
                service = "service",
                entries = fleet.entries,
                workers = 2,
                pauseMillis = 30,
                runMillis = options.seconds * MILLIS_PER_SECOND,
                seed = options.seed,
            )
        return CallerStandIn(options, fleet.recordsFolder)
    }

    private fun trainer(
        fleet: LocalFleet,
        index: Int,
        groups: Int,
    ): TrainerStandIn {
        val options =
            TrainerOptions(
                name = "trainer-$index",
                key = "trainer-$index-key",
                model = "model",
                entries = fleet.entries,
                publishes = index == 0,
                bound = mix.stalenessBounds[index],
                groups = groups,
                n = SAMPLES,
                enough = ENOUGH,
                maxTokens = MAX_TOKENS,
                trainMillis = TRAIN_MILLIS,
                runMillis = options.seconds * MILLIS_PER_SECOND,
                seed = options.seed + index,
            )
        return TrainerStandIn(options, fleet.recordsFolder)
    }

    companion object {
        /** Groups per step. */
        const val GROUPS = 6

        /** Samples started per group. */
        const val SAMPLES = 6

        /** Samples that complete a group. */
        const val ENOUGH = 4

        /** Maximum number of tokens of a sample. */
        const val MAX_TOKENS = 400
        private const val TRAIN_MILLIS = 250L
        private const val MILLIS_PER_SECOND = 1_000L
    }
}
