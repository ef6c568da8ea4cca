package bergamotwall.bench

import org.openjdk.jmh.runner.Runner
import org.openjdk.jmh.runner.options.OptionsBuilder
import org.openjdk.jmh.runner.options.TimeValue

/** Time and allocation of one routing decision with 10, 100 and 800 replicas, measured by JMH. */
internal class DecideBench : Bench {
    override val name = "decide"

    override fun run(options: BenchOptions): BenchResult {
        val jmh =
            OptionsBuilder()
                .include("DecideBenchmark")
                .forks(0)
                .warmupIterations(WARM_UP_ITERATIONS)
                .warmupTime(TimeValue.seconds(1))
                .measurementIterations(options.rounds + 2)
                .measurementTime(TimeValue.seconds(1))
                .addProfiler("gc")
                .build()
        val figures =
            Runner(jmh).run().flatMap { result ->
                val replicas = result.params.getParam("replicas")
                val score = result.primaryResult
                val bytes = result.secondaryResults["gc.alloc.rate.norm"]?.score ?: 0.0
                listOf(
                    figureOf(
                        "$replicas replicas: decision and return",
                        "us",
                        score.repeatedScore(),
                        atMost = MAX_MICROS
                    ),
                    figureOf("$replicas replicas: allocated a decision", "bytes", listOf(bytes)),
                )
            }
        return BenchResult(name, figures)
    }

    /** The mean score, once for each measured iteration. */
    private fun org.openjdk.jmh.results.Result<*>.repeatedScore(): List<Double> =
        List(statistics.n.toInt().coerceAtLeast(1)) { score }

    private companion object {
        private const val MAX_MICROS = 5.0
        private const val WARM_UP_ITERATIONS = 4
    }
}
