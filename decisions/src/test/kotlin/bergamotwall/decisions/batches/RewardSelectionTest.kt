package bergamotwall.decisions.batches

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import java.util.PriorityQueue

internal class RewardSelectionTest {
    @ParameterizedTest(name = "{0} slots, {1} running, {2} of them own calls, share {3}: {4}")
    @CsvSource(
        "24, 0, 0, 50, 12",
        "24, 8, 0, 50, 4",
        "24, 8, 8, 50, 4",
        // The targets have not reported the calls that are under way to them.
        "24, 2, 8, 50, 4",
        "24, 24, 12, 50, 0",
        // Nothing tells that a full service is free again but a call.
        "24, 30, 0, 50, 1",
        "0, 0, 0, 50, 1",
        "24, 0, 0, 0, 1",
    )
    fun `calls fill a share of the slots`(
        slots: Int,
        running: Int,
        inFlight: Int,
        sharePercent: Int,
        admitted: Int,
    ) {
        expectThat(RewardPool(slots, running, inFlight, sharePercent).admitted).isEqualTo(admitted)
    }

    @ParameterizedTest(name = "{0}: {2}")
    @CsvSource(
        // due/ungenerated/group of each call; tickets in order
        "batches due earlier first, 9/0/0 5/3/7, 1 0",
        "then complete groups, 5/2/0 5/0/1 5/1/2, 1 2 0",
        "then the order of the batch, 5/0/3 5/0/1 5/0/2, 1 2 0",
    )
    fun `the most urgent calls go first`(
        case: String,
        calls: String,
        tickets: String,
    ) {
        val waiting =
            calls.split(' ').mapIndexed { ticket, call ->
                val (due, ungenerated, group) = call.split('/').map { it.toInt() }
                WaitingReward(ticket, due.toLong(), ungenerated, group)
            }
        val selected = selectRewardCalls(waiting, RewardPool(100, 0, 0, 100))
        expectThat(selected.joinToString(" ")).describedAs(case).isEqualTo(tickets)
    }

    @Test
    fun `callers beside a wave of reward calls wait no longer than without it`() {
        val alone = ScoringWave(calls = 0).run(sharePercent = 50)
        val paced = ScoringWave(CALLS).run(sharePercent = 50)
        val unpaced = ScoringWave(CALLS).run(sharePercent = ALL)
        expectThat(paced.slowestCallerMillis).isEqualTo(alone.slowestCallerMillis)
        expectThat(unpaced.slowestCallerMillis).isGreaterThan(2 * alone.slowestCallerMillis)
    }

    @Test
    fun `most groups of a wave are complete well before its end`() {
        val ordered = ScoringWave(CALLS).run(sharePercent = 50)
        val shuffled = ScoringWave(CALLS, ordered = false).run(sharePercent = 50)
        expectThat(ordered.meanGroupMillis).isLessThan(shuffled.meanGroupMillis * 3 / 4)
    }

    /**
     * Replays the load pattern: [calls] reward calls of groups of [GROUP_SIZE] become ready at the same moment, and a
     * caller's request arrives every [CALLER_PERIOD_MILLIS]. The targets serve first come, first served. If not
     * [ordered], the calls all seem equally urgent.
     */
    private class ScoringWave(private val calls: Int, private val ordered: Boolean = true) {
        private class Run(val group: Int?, val arrivedAtMillis: Int)

        private val waiting = (0 until calls).toMutableList()
        private val queue = ArrayDeque<Run>()
        private val ends = PriorityQueue<Pair<Int, Run>>(compareBy { it.first })
        private val groupEndMillis = HashMap<Int, Int>()
        private var slowestCallerMillis = 0

        fun run(sharePercent: Int): Outcome {
            for (nowMillis in 0 until DURATION_MILLIS) {
                while (ends.isNotEmpty() && ends.peek().first == nowMillis) end(ends.poll().second, nowMillis)
                if (nowMillis % CALLER_PERIOD_MILLIS == 0) queue += Run(null, nowMillis)
                select(sharePercent).forEach { queue += Run(it, nowMillis) }
                while (ends.size < SLOTS && queue.isNotEmpty()) {
                    ends += nowMillis + WORK_MILLIS to queue.removeFirst()
                }
            }
            return Outcome(slowestCallerMillis, if (calls == 0) 0 else groupEndMillis.values.average().toInt())
        }

        private fun select(sharePercent: Int): List<Int> {
            val runs = ends.map { it.second } + queue
            val pool = RewardPool(SLOTS, runs.size, runs.count { it.group != null }, sharePercent)
            val tickets =
                waiting.mapIndexed { ticket, call -> WaitingReward(ticket, 0, 0, if (ordered) groupOf(call) else 0) }
            val selected = selectRewardCalls(tickets, pool).map { waiting[it] }
            waiting.removeAll(selected)
            return selected.map { groupOf(it) }
        }

        /** Items of a group end at different times, so the calls of all groups are interleaved. */
        private fun groupOf(call: Int): Int = call % (calls / GROUP_SIZE)

        private fun end(
            run: Run,
            nowMillis: Int,
        ) {
            if (run.group == null) {
                slowestCallerMillis = maxOf(slowestCallerMillis, nowMillis - run.arrivedAtMillis)
            } else {
                groupEndMillis[run.group] = nowMillis
            }
        }
    }

    private class Outcome(val slowestCallerMillis: Int, val meanGroupMillis: Int)

    private companion object {
        private const val SLOTS = 24
        private const val WORK_MILLIS = 40
        private const val CALLS = 320
        private const val GROUP_SIZE = 16
        private const val CALLER_PERIOD_MILLIS = 100
        private const val DURATION_MILLIS = 3_000

        /** Share at which all calls are sent at once. */
        private const val ALL = 10_000
    }
}
