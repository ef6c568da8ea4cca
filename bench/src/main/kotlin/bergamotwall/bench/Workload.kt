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

/** What a run of a workload showed. */
internal class WorkloadResult(val trainers: List<TrainerResult>, val applicationMillis: List<Long>)

/** Trainers and an application caller against a local fleet. */
internal class Workload(private val mix: Mix, private val options: BenchOptions) {
    /** Runs for the stated time with the mix's trainers, or without any. */
    fun run(
        fleet: LocalFleet,
        trainers: Boolean = true,
        groups: Int = GROUPS,
    ): WorkloadResult =
        runBlocking(Dispatchers.Default) {
            val caller = async { caller(fleet).run() }
            val results = if (trainers) {
                mix.bounds.indices.map { i ->
                    async {
                        trainer(fleet, i, groups).run()
                    }
                }.awaitAll()
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
                runMillis = options.seconds * MILLIS,
                seed = options.seed,
            )
        return CallerStandIn(options, fleet.records)
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
                bound = mix.bounds[index],
                groups = groups,
                n = SAMPLES,
                enough = ENOUGH,
                maxTokens = MAX_TOKENS,
                trainMillis = TRAIN_MILLIS,
                runMillis = options.seconds * MILLIS,
                seed = options.seed + index,
            )
        return TrainerStandIn(options, fleet.records)
    }

    companion object {
        /** Groups of a step. */
        const val GROUPS = 6

        /** Samples started and enough in a group. */
        const val SAMPLES = 6

        /** Samples that end a group. */
        const val ENOUGH = 4

        /** Tokens of a sample at the most. */
        const val MAX_TOKENS = 400
        private const val TRAIN_MILLIS = 250L
        private const val MILLIS = 1_000L
    }
}
