package bergamotwall.bench

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpResponse
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.reactive.collect
import kotlinx.coroutines.runBlocking

/** Time from enough samples to the slot's next first token, over the round trip of a request through an entry. */
internal class CancelBench : Bench {
    override val name = "cancel"

    override fun run(options: BenchOptions): BenchResult {
        val engine = benchEngine.copy(
            slots = 2,
            tokenMillis = TOKEN_MILLIS,
            prefillMillis = 0.0,
            medianTokens = TOKENS,
            tailSigma = 0.1,
            seed = options.seed
        )
        val shape = FleetShape(mixes.first().intent, engines = 1, services = 0, entries = 1, engine = engine)
        return LocalFleet(shape).use { fleet ->
            val entry = fleet.entries.first()
            repeat(WARM_UP) { reuse(entry, it) }
            val trips = List(SAMPLES) { roundTripMicros(entry) }
            val reuses = List(SAMPLES * options.rounds) { reuse(entry, WARM_UP + it) }
            val trip = percentile(trips, MEDIAN)
            BenchResult(
                name,
                listOf(
                    figureOf("round trip through an entry", "us", listOf(trip)),
                    figureOf("enough samples to the next first token", "us", listOf(percentile(reuses, MEDIAN))),
                    figureOf(
                        "reuse over round trip",
                        "ratio",
                        listOf(percentile(reuses, MEDIAN) / trip),
                        atMost = TARGET
                    ),
                ),
            )
        }
    }

    /** A group of two fills the engine, the next call waits; the time between the group's end and its first token. */
    private fun reuse(
        entry: String,
        round: Int,
    ): Long {
        val calls = DirectCalls("app-key")
        val group = calls.start(
            entry,
            calls.pair("model", "group $round", 2 * TOKENS)
        )
        Thread.sleep(SETTLE_MILLIS)
        val next = calls.open(entry, calls.body("model", "next $round", SHORT, stream = true))
        var ended = 0L
        val done = group.thenAccept { ended = System.nanoTime() }
        val first = firstData(next)
        done.join()
        return maxOf(1, (first - ended) / NANOS_PER_MICRO)
    }

    private fun firstData(response: HttpResponse): Long =
        runBlocking(Dispatchers.Default) {
            var first = 0L
            response.split().body().collect { if (first == 0L) first = System.nanoTime() }
            first
        }

    private fun roundTripMicros(entry: String): Long {
        val start = System.nanoTime()
        WebClient.of().get("http://$entry/healthz").aggregate().join()
        return (System.nanoTime() - start) / NANOS_PER_MICRO
    }

    private companion object {
        private const val TARGET = 2.0
        private const val WARM_UP = 30
        private const val SAMPLES = 40
        private const val TOKEN_MILLIS = 0.25
        private const val TOKENS = 600
        private const val SHORT = 4
        private const val SETTLE_MILLIS = 25L
        private const val MEDIAN = 50.0
        private const val NANOS_PER_MICRO = 1_000L
    }
}
