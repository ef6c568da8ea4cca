package bergamotwall.decisions.scaling

import bergamotwall.model.DataCentre
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/**
 * Targets are ordered without a need, too late, in the wrong place or beyond the bounds; or so many are given up, or
 * are spot targets, that work ends late. Data centres `a`, `b` and `c` cost 1, 0.8 and 1.25; 1 to 4 targets in each.
 */
internal class ScalingDecisionTest {
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // What happens | regular in a b c / spot in a b c | least, scaleUpBelow, withReserve | options | orders
        "no work and no calm, 2 2 2 0 0 0, 0 0 0, , ''",
        "the work is served, 2 2 2 0 0 0, 4 6 7, , ''",
        "a target was lost that the work does not need, 1 2 2 0 0 0, 3 5 6, , ''",
        "a target was lost that the work needs, 1 2 2 0 0 0, 5 6 7, , b4",
        "more work than targets, 2 2 2 0 0 0, 6 8 9, , a3 b4",
        "more work than the bounds allow, 2 2 2 0 0 0, 60 80 90, , a4 b4 c4",
        "none available in the cheapest, 2 2 2 0 0 0, 6 8 9, closed b, a4 c3",
        "none available anywhere, 2 2 2 0 0 0, 6 8 9, closed a b c, ''",
        "an empty data centre gets its minimum, 2 0 2 0 0 0, 3 5 5, , b1",
        "too few for the minimum, 2 0 2 0 0 0, 0 0 0, short b, b1",
        "too few for the minimum and none available, 2 0 2 0 0 0, 0 0 0, short b closed b, ''",
        "spot targets beyond the least, 2 2 2 0 0 0, 6 8 9, spot, b+2 a+1",
        "spot targets only as far as the loss of a data centre is borne, 1 1 1 0 0 0, 6 7 7, spot, b2 a+1 b+1 c+1",
        "a data centre loses its spot targets, 2 2 2 0 0 0, 6 10 11, spot closed b, a+2 c+2",
        "calm: a quarter of the targets, 4 4 4 0 0 0, 1 1 1, calm, c1",
        "calm: down to the minimum, 1 1 2 0 0 0, 0 0 0, calm, c1",
        "calm: never below the minimum, 1 1 1 0 0 0, 0 0 0, calm, ''",
        "calm: what the work needs stays, 2 2 2 0 0 0, 4 4 5, calm, ''",
        "calm: one more than needed stays, 2 2 2 0 0 0, 3 4 4, calm, c1",
        "calm: regular ones stay while spot ones could be lost, 2 1 1 0 3 0, 4 4 4, calm spot, b+2",
    )
    fun `the orders follow from the need`(
        @Suppress("UNUSED_PARAMETER") what: String,
        present: String,
        need: String,
        options: String?,
        orders: String,
    ) {
        val counts = present.split(' ').map { it.toInt() }
        val (least, below, reserve) = need.split(' ').map { it.toInt() }
        val words = options.orEmpty().split(' ')
        val targetNeed = TargetNeed(least, below, reserve)
        val scaling =
            ServiceScaling(
                terms = TERMS.copy(spotPrice = 0.25.takeIf { "spot" in words }),
                present = POOLS.zip(counts).toMap(),
                closed = namedAfter(
                    "closed",
                    words
                ).flatMap { listOf(ScalingPool(it, false), ScalingPool(it, true)) }.toSet(),
                shortOfMinimum = namedAfter("short", words).toSet(),
                sustained = targetNeed,
                calm = "calm" in words,
            )
        val decided = decideScaling(scaling).map { order ->
            order.pool.dataCentre.value + (if (order.pool.spot) "+" else "") + order.desired
        }
        expectThat(decided.toSet()).isEqualTo(orders.split(' ').filter { it.isNotEmpty() }.toSet())
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // What is to be done, requests running and refused a second, items and when due | least, below, reserve
        "nothing, 0 0 0 0, 0 0 0",
        "one request, 1 0 0 0, 1 1 1",
        "requests in all slots of six targets, 24 0 0 0, 6 8 9",
        "requests that are refused, 12 12 0 0, 6 8 9",
        "items with time, 0 0 40 60000, 1 1 1",
        "items that are due soon, 0 0 40 10000, 2 3 3",
        "items that are due before new targets serve, 0 0 40 1000, 4 5 5",
        "requests and items, 12 0 40 10000, 5 7 7",
    )
    fun `the need follows from the work`(
        @Suppress("UNUSED_PARAMETER") what: String,
        work: String,
        need: String,
    ) {
        val figures = work.split(' ').map { it.toInt() }
        val items = ItemLoad(figures[2], figures[3].toLong())
        val load = ServiceLoad(figures[0], figures[1].toDouble(), 1_000, 2_000, listOf(items))
        val (least, below, reserve) = need.split(' ').map { it.toInt() }
        expectThat(targetNeed(load, 4, 4_000)).isEqualTo(TargetNeed(least, below, reserve))
    }

    @Test
    fun `without known slots one target is needed`() {
        expectThat(targetNeed(ServiceLoad(runningRequests = 90), null, 4_000)).isEqualTo(TargetNeed(1, 1, 1))
    }

    @Test
    fun `a short peak is not sustained, and a short pause does not hide the peak`() {
        val history = NeedHistory(10_000)
        expectThat(history.sustained(0)).isEqualTo(TargetNeed.NONE)
        val counts = listOf(2, 2, 9, 1, 2)
        counts.forEachIndexed { second, count -> history.add(second * 1_000L, TargetNeed(count, count, count)) }
        expectThat(history.sustained(1_000).least).isEqualTo(1)
        expectThat(history.peak(1_000).least).isEqualTo(9)
        expectThat(history.peak(3_000).least).isEqualTo(2)
        history.add(20_000, TargetNeed(3, 3, 3))
        expectThat(history.covers(10_000)).isEqualTo(true)
        expectThat(history.peak(10_000).least).isEqualTo(3)
    }

    private fun namedAfter(
        word: String,
        words: List<String>,
    ): List<DataCentre> =
        if (word in words) {
            words.drop(
                words.indexOf(word) + 1
            ).takeWhile { it.length == 1 }.map { DataCentre(it) }
        } else {
            emptyList()
        }

    private companion object {
        private val TERMS =
            ScalingTerms(
                minReplicas = 1,
                maxReplicas = 4,
                startupMillis = 4_000,
                zonePrices = mapOf(DataCentre("a") to 1.0, DataCentre("b") to 0.8, DataCentre("c") to 1.25),
            )
        private val POOLS = listOf(false, true).flatMap { spot -> "abc".map { ScalingPool(DataCentre("$it"), spot) } }
    }
}
