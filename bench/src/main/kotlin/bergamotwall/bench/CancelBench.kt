package bergamotwall.bench

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpResponse
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.reactive.collect
import kotlinx.coroutines.runBlocking

/**
 * Time to reuse the slot of a cancelled generation: from the response to a group with enough samples to the first token
 * of the request that waits for the slot, as a multiple of a round trip through an entry.
 */
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
        val shape = FleetShape(workloadMixes.first().intent, engines = 1, services = 0, entries = 1, engine = engine)
        return LocalFleet(shape).use { fleet ->
            val entry = fleet.entries.first()
            repeat(WARM_UP) { reuseMicros(entry, it) }
            val roundTrips = List(SAMPLES) { roundTripMicros(entry) }
            val reuses = List(SAMPLES * options.rounds) { reuseMicros(entry, WARM_UP + it) }
            val roundTrip = percentile(roundTrips, MEDIAN)
            BenchResult(
                name,
                listOf(
                    figureOf("round trip through an entry", "us", listOf(roundTrip)),
                    figureOf("enough samples to the next first token", "us", listOf(percentile(reuses, MEDIAN))),
                    figureOf(
                        "reuse over round trip",
                        "ratio",
                        listOf(percentile(reuses, MEDIAN) / roundTrip),
                        atMost = MAX_RATIO
                    ),
                ),
            )
        }
    }

    /** Microseconds from the end of a group of two, which fills the engine, to the first token of a waiting call. */
    private fun reuseMicros(
        entry: String,
        round: Int,
    ): Long {
        val client = CompletionClient("app-key")
        val group = client.send(entry, client.twoChoicesBody("model", "group $round", 2 * TOKENS))
        Thread.sleep(SETTLE_MILLIS)
        val next = client.stream(entry, client.completionBody("model", "next $round", SHORT_TOKENS, stream = true))
        var groupEnd = 0L
        val done = group.thenAccept { groupEnd = System.nanoTime() }
        val first = firstDataNanos(next)
        done.join()
        return maxOf(1, (first - groupEnd) / NANOS_PER_MICRO)
    }

    private fun firstDataNanos(response: HttpResponse): Long =
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
        private const val MAX_RATIO = 2.0
        private const val WARM_UP = 30
        private const val SAMPLES = 40
        private const val TOKEN_MILLIS = 0.25
        private const val TOKENS = 600
        private const val SHORT_TOKENS = 4
        private const val SETTLE_MILLIS = 25L
        private const val MEDIAN = 50.0
        private const val NANOS_PER_MICRO = 1_000L
    }
}
