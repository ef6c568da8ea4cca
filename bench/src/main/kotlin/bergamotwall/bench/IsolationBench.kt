package bergamotwall.bench

import bergamotwall.model.DispatchPolicy

/** Application latency while trainers saturate the engines, as a multiple of that without trainers. */
internal class IsolationBench : Bench {
    override val name = "isolation"

    override fun run(options: BenchOptions): BenchResult {
        val mix = workloadMixes.first()
        val ratios = DispatchPolicy.entries.associateWith { ArrayList<Double>() }
        val alone = ArrayList<Double>()
        repeat(options.rounds) { round ->
            val seeded = options.copy(seed = options.seed + round)
            val baseline = p99(mix, DispatchPolicy.SHARDS, seeded, trainers = false)
            alone += baseline
            ratios.forEach { (policy, runs) -> runs += p99(mix, policy, seeded, trainers = true) / baseline }
        }
        val figures =
            ratios.map { (policy, runs) ->
                val target = MAX_RATIO.takeIf { policy == DispatchPolicy.SHARDS }
                figureOf("application p99 beside training, ${policy.name.lowercase()}", "ratio", runs, atMost = target)
            }
        return BenchResult(name, listOf(figureOf("application p99 alone", "ms", alone)) + figures)
    }

    private fun p99(
        mix: WorkloadMix,
        policy: DispatchPolicy,
        options: BenchOptions,
        trainers: Boolean,
    ): Double {
        val engine = benchEngine.copy(seed = options.seed)
        val shape = FleetShape(mix.intent, mix.engines, mix.services, policy = policy, engine = engine)
        val result = LocalFleet(shape).use { Workload(mix, options).run(it, trainers, groups = SATURATING_GROUPS) }
        return percentile(result.applicationMillis, P99)
    }

    private companion object {
        private const val MAX_RATIO = 1.2
        private const val P99 = 99.0
        private const val SATURATING_GROUPS = 16
    }
}
