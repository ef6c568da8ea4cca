package bergamotwall.bench

import com.linecorp.armeria.common.HttpStatus
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicInteger

/** Goodput, that is complete responses within their deadline per second, at multiples of the engines' capacity. */
internal class OverloadBench : Bench {
    override val name = "overload"

    override fun run(options: BenchOptions): BenchResult {
        val goodputByLoad = LOADS.associateWith { ArrayList<Double>() }
        repeat(options.rounds) { round ->
            val seeded = options.copy(seed = options.seed + round)
            goodputByLoad.forEach { (load, measured) -> measured += goodput(load, seeded) }
        }
        val atCapacity = goodputByLoad.getValue(1.0).sorted().let { it[it.size / 2] }
        val figures =
            goodputByLoad.map { (load, measured) ->
                val target = if (load > 1) MIN_SHARE * atCapacity else null
                figureOf("goodput at $load times capacity", "answers/s", measured, atLeast = target)
            }
        return BenchResult(name, figures)
    }

    private fun goodput(
        load: Double,
        options: BenchOptions,
    ): Double {
        val engine = benchEngine.copy(
            tailSigma = 0.0,
            tokenMillis = TOKEN_MILLIS,
            medianTokens = TOKENS,
            seed = options.seed
        )
        val shape =
            FleetShape(workloadMixes.first().intent, engines = ENGINES, services = 0, entries = 2, engine = engine)
        return LocalFleet(shape).use { fleet ->
            val seconds = options.seconds
            val serviceMillis = engine.prefillMillis + TOKENS * TOKEN_MILLIS * FULL_BATCH_FACTOR
            val rate = load * ENGINES * engine.slots * MILLIS_PER_SECOND / serviceMillis
            sendAtRate(fleet, rate, seconds).toDouble() / seconds
        }
    }

    /** Sends calls at the fixed [rate], whatever the responses, and returns the number of successful ones. */
    private fun sendAtRate(
        fleet: LocalFleet,
        rate: Double,
        seconds: Long,
    ): Int {
        val client = CompletionClient("app-key")
        val succeeded = AtomicInteger()
        val pending = ArrayList<CompletableFuture<Void>>()
        val start = System.nanoTime()
        val total = (rate * seconds).toInt()
        repeat(total) { i ->
            val dueNanos = start + (i * NANOS_PER_SECOND / rate).toLong()
            while (System.nanoTime() < dueNanos) Thread.sleep(1)
            val body = client.completionBody("model", "call $i", TOKENS, stream = false)
            val call = client.send(fleet.entries[i % fleet.entries.size], body, DEADLINE_MILLIS)
            pending +=
                call.thenAccept { response -> if (response.status() == HttpStatus.OK) succeeded.incrementAndGet() }
        }
        pending.forEach { call -> call.handle { _, _ -> }.join() }
        return succeeded.get()
    }

    private companion object {
        private val LOADS = listOf(0.5, 1.0, 2.0, 4.0)

        /** Share of the goodput at capacity that must remain under overload. */
        private const val MIN_SHARE = 0.9
        private const val ENGINES = 4
        private const val TOKENS = 40
        private const val TOKEN_MILLIS = 4.0

        /** Slowdown of an engine with all slots in use, as modelled by the engine stand-in. */
        private const val FULL_BATCH_FACTOR = 1.3
        private const val MILLIS_PER_SECOND = 1_000.0
        private const val NANOS_PER_SECOND = 1e9
        private const val DEADLINE_MILLIS = 1_000L
    }
}
