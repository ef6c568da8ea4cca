package bergamotwall.bench

import bergamotwall.model.DispatchPolicy
import bergamotwall.standins.EngineStandIn
import kotlin.concurrent.thread

/** Trainer idle time, staleness and wasted tokens under the fleet's policy and two baselines, for both mixes. */
internal class PolicyBench : Bench {
    override val name = "policy"

    private enum class Scenario { NORMAL, SLOW_REPLICA, CRASH }

    private class Measurements(
        val idleShare: Double,
        val staleVersions: Double,
        val staleP99Millis: Double,
        val wastedShare: Double,
        val stepMillis: Double,
        val appP99Millis: Double,
    )

    override fun run(options: BenchOptions): BenchResult =
        BenchResult(name, workloadMixes.flatMap { mix -> Scenario.entries.flatMap { figures(mix, it, options) } })

    private fun figures(
        mix: WorkloadMix,
        scenario: Scenario,
        options: BenchOptions,
    ): List<Figure> {
        val runs = DispatchPolicy.entries.associateWith { ArrayList<Measurements>() }
        repeat(options.rounds) { round ->
            val seeded = options.copy(seed = options.seed + round)
            runs.forEach { (policy, measured) -> measured += run(mix, scenario, policy, seeded) }
        }
        val ideal = IdealStep(benchEngine).expectedMillis(options.seed)
        return runs.flatMap { (policy, measured) ->
            figures("${mix.name} ${scenario.name.lowercase()} ${policy.name.lowercase()}", measured, ideal)
        }
    }

    private fun figures(
        label: String,
        runs: List<Measurements>,
        idealMillis: Double,
    ): List<Figure> =
        listOf(
            figureOf("$label: trainer idle share", "", runs.map { it.idleShare }),
            figureOf("$label: staleness median", "versions", runs.map { it.staleVersions }),
            figureOf("$label: staleness p99", "ms", runs.map { it.staleP99Millis }),
            figureOf("$label: wasted tokens", "share", runs.map { it.wastedShare }),
            figureOf("$label: step over ideal", "ratio", runs.map { it.stepMillis / idealMillis }),
            figureOf("$label: application p99", "ms", runs.map { it.appP99Millis }),
        )

    private fun run(
        mix: WorkloadMix,
        scenario: Scenario,
        policy: DispatchPolicy,
        options: BenchOptions,
    ): Measurements {
        val engine = benchEngine.copy(seed = options.seed)
        val shape = FleetShape(mix.intent, mix.engines, mix.services, policy = policy, engine = engine)
        return LocalFleet(shape).use { fleet ->
            if (scenario == Scenario.SLOW_REPLICA) fleet.engines[1].slowness = SLOWNESS
            var restarted: EngineStandIn? = null
            val crash = if (scenario == Scenario.CRASH) thread { restarted = crash(fleet, options) } else null
            val result = Workload(mix, options).run(fleet)
            crash?.join()
            val decoded = fleet.engines.sumOf { it.decodedTokens.get() } + (restarted?.decodedTokens?.get() ?: 0)
            restarted?.close()
            measure(result, decoded)
        }
    }

    private fun crash(
        fleet: LocalFleet,
        options: BenchOptions,
    ): EngineStandIn {
        Thread.sleep(options.seconds * MILLIS_PER_SECOND / 2)
        return fleet.crashAndRestart(1)
    }

    private fun measure(
        result: WorkloadResult,
        decoded: Long,
    ): Measurements {
        val steps = result.trainers.flatMap { it.steps }
        val ages = steps.flatMap { it.ageVersions }.sorted()
        val publisherAgeMillis = result.trainers.first().steps.flatMap { it.ageMillis }
        val delivered = steps.sumOf { it.tokens }
        return Measurements(
            idleShare = steps.sumOf { it.waitedMillis }.toDouble() / result.trainers.sumOf { it.totalMillis },
            staleVersions = ages.average(),
            staleP99Millis = percentile(publisherAgeMillis, P99),
            wastedShare = (decoded - delivered).toDouble() / decoded,
            stepMillis = steps.map { it.waitedMillis }.sorted()[steps.size / 2].toDouble(),
            appP99Millis = percentile(result.applicationMillis, P99),
        )
    }

    private companion object {
        private const val SLOWNESS = 4.0
        private const val MILLIS_PER_SECOND = 1_000L
        private const val P99 = 99.0
    }
}
