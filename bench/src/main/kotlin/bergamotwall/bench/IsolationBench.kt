package bergamotwall.bench

import bergamotwall.model.DispatchPolicy

/** Application latency while trainers saturate the engines, over that of the application alone. */
internal class IsolationBench : Bench {
    override val name = "isolation"

    override fun run(options: BenchOptions): BenchResult {
        val mix = mixes.first()
        val ratios = DispatchPolicy.entries.associateWith { ArrayList<Double>() }
        val alone = ArrayList<Double>()
        repeat(options.rounds) { round ->
            val seeded = options.copy(seed = options.seed + round)
            val base = p99(mix, DispatchPolicy.SHARDS, seeded, trainers = false)
            alone += base
            ratios.forEach { (policy, done) -> done += p99(mix, policy, seeded, trainers = true) / base }
        }
        val figures =
            ratios.map { (policy, done) ->
                val target = TARGET.takeIf { policy == DispatchPolicy.SHARDS }
                figureOf("application p99 beside training, ${policy.name.lowercase()}", "ratio", done, atMost = target)
            }
        return BenchResult(name, listOf(figureOf("application p99 alone", "ms", alone)) + figures)
    }

    private fun p99(
        mix: Mix,
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
        private const val TARGET = 1.2
        private const val P99 = 99.0
        private const val SATURATING_GROUPS = 16
    }
}
