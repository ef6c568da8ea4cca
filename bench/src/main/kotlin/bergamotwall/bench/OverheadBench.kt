package bergamotwall.bench

import com.sun.management.OperatingSystemMXBean
import java.lang.management.ManagementFactory

/** Latency and processor time that an entry adds to a call, and the tokens per second that one core can forward. */
internal class OverheadBench : Bench {
    override val name = "overhead"

    private class Cost(val micros: Double, val cpuMicros: Double)

    override fun run(options: BenchOptions): BenchResult {
        val engine = benchEngine.copy(
            slots = 64,
            tokenMillis = 0.0,
            prefillMillis = 0.0,
            medianTokens = TOKENS,
            tailSigma = 0.0
        )
        val shape = FleetShape(workloadMixes.first().intent, engines = 1, services = 0, entries = 1, engine = engine)
        return LocalFleet(shape).use { fleet ->
            val direct = "127.0.0.1:${fleet.engines.first().port}"
            val entry = fleet.entries.first()
            repeat(WARM_UP_CALLS) {
                listOf(direct, entry).forEach { address -> call(address, SHORT_TOKENS, stream = false) }
            }
            repeat(WARM_UP_STREAMS) {
                listOf(direct, entry).forEach { address -> call(address, TOKENS, stream = true) }
            }
            val rounds = List(options.rounds) { round(direct, entry) }
            BenchResult(name, figures(rounds))
        }
    }

    private class Round(val addedMicros: Double, val addedCpuMicros: Double, val tokensPerCore: Double)

    private fun round(
        direct: String,
        entry: String,
    ): Round {
        val directCost = measure(CALLS) { call(direct, SHORT_TOKENS, stream = false) }
        val entryCost = measure(CALLS) { call(entry, SHORT_TOKENS, stream = false) }
        val directStream = measure(STREAMS) { call(direct, TOKENS, stream = true) }
        val entryStream = measure(STREAMS) { call(entry, TOKENS, stream = true) }
        val cpuPerStream = entryStream.cpuMicros - directStream.cpuMicros
        return Round(
            entryCost.micros - directCost.micros,
            entryCost.cpuMicros - directCost.cpuMicros,
            TOKENS * MICROS_PER_SECOND / cpuPerStream
        )
    }

    private fun figures(rounds: List<Round>): List<Figure> {
        val perCore = rounds.map { it.tokensPerCore }
        return listOf(
            figureOf("added latency, median", "us", rounds.map { it.addedMicros }, atMost = MAX_ADDED_MICROS),
            figureOf("added processor time a call", "us", rounds.map { it.addedCpuMicros }),
            figureOf("streamed tokens a second and core", "tokens/s", perCore),
            figureOf("cores for 1.4 M tokens/s", "cores", perCore.map { PEAK_TOKENS_PER_SECOND / it }),
        )
    }

    private fun measure(
        count: Int,
        call: () -> Unit,
    ): Cost {
        val cpuBefore = cpuNanos()
        val micros =
            List(count) {
                val start = System.nanoTime()
                call()
                (System.nanoTime() - start) / NANOS_PER_MICRO
            }
        return Cost(percentile(micros, MEDIAN), (cpuNanos() - cpuBefore).toDouble() / NANOS_PER_MICRO / count)
    }

    private fun call(
        address: String,
        tokens: Int,
        stream: Boolean,
    ) {
        val body = client.completionBody("model", "overhead", tokens, stream)
        check(client.send(address, body).join().status().isSuccess)
    }

    private val client = CompletionClient("app-key")

    private fun cpuNanos(): Long =
        (ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean).processCpuTime

    private companion object {
        private const val MAX_ADDED_MICROS = 1_000.0
        private const val TOKENS = 400
        private const val SHORT_TOKENS = 4
        private const val WARM_UP_CALLS = 3_000
        private const val WARM_UP_STREAMS = 200
        private const val CALLS = 500
        private const val STREAMS = 100
        private const val MEDIAN = 50.0
        private const val NANOS_PER_MICRO = 1_000L
        private const val MICROS_PER_SECOND = 1_000_000.0
        private const val PEAK_TOKENS_PER_SECOND = 1_400_000.0
    }
}
