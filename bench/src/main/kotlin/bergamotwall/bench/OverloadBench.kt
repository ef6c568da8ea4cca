package bergamotwall.bench

import com.linecorp.armeria.common.HttpStatus
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicInteger

/** Whole answers within their deadline a second, while calls come in at multiples of the engines' capacity. */
internal class OverloadBench : Bench {
    override val name = "overload"

    override fun run(options: BenchOptions): BenchResult {
        val perLoad = LOADS.associateWith { ArrayList<Double>() }
        repeat(options.rounds) { round ->
            val seeded = options.copy(seed = options.seed + round)
            perLoad.forEach { (load, done) -> done += goodput(load, seeded) }
        }
        val atOne = perLoad.getValue(1.0).sorted().let { it[it.size / 2] }
        val figures =
            perLoad.map { (load, done) ->
                val target = if (load > 1) FLAT * atOne else null
                figureOf("goodput at $load times capacity", "answers/s", done, atLeast = target)
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
        val shape = FleetShape(mixes.first().intent, engines = ENGINES, services = 0, entries = 2, engine = engine)
        return LocalFleet(shape).use { fleet ->
            val seconds = options.seconds
            val serviceMillis = engine.prefillMillis + TOKENS * TOKEN_MILLIS * BATCH_FACTOR
            val rate = load * ENGINES * engine.slots * MILLIS / serviceMillis
            offer(fleet, rate, seconds).toDouble() / seconds
        }
    }

    private fun offer(
        fleet: LocalFleet,
        rate: Double,
        seconds: Long,
    ): Int {
        val calls = DirectCalls("app-key")
        val whole = AtomicInteger()
        val open = ArrayList<CompletableFuture<Void>>()
        val start = System.nanoTime()
        val total = (rate * seconds).toInt()
        repeat(total) { i ->
            val dueNanos = start + (i * NANOS / rate).toLong()
            while (System.nanoTime() < dueNanos) Thread.sleep(1)
            val body = calls.body("model", "call $i", TOKENS, stream = false)
            val call = calls.start(fleet.entries[i % fleet.entries.size], body, DEADLINE_MILLIS)
            open += call.thenAccept { answer -> if (answer.status() == HttpStatus.OK) whole.incrementAndGet() }
        }
        open.forEach { call -> call.handle { _, _ -> }.join() }
        return whole.get()
    }

    private companion object {
        private val LOADS = listOf(0.5, 1.0, 2.0, 4.0)
        private const val FLAT = 0.9
        private const val ENGINES = 4
        private const val TOKENS = 40
        private const val TOKEN_MILLIS = 4.0
        private const val BATCH_FACTOR = 1.3
        private const val MILLIS = 1_000.0
        private const val NANOS = 1e9
        private const val DEADLINE_MILLIS = 1_000L
    }
}
