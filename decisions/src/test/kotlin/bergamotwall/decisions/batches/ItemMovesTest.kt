package bergamotwall.decisions.batches

import bergamotwall.model.TargetId
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import kotlin.random.Random

/** Guards against training steps that wait for items at the slowest targets. */
internal class ItemMovesTest {
    /** [item] is events received and moves; a target its name, pace and free slots. */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "to the fastest target, 10:0, a:150:4 b:60:4 c:50:4, c",
        "stays where it is fastest, 10:0, a:50:4 b:60:4 c:150:4, ''",
        "stays where little is gained, 10:0, a:75:4 b:60:4, ''",
        "stays near its end, 18:0, a:70:4 b:50:4, ''",
        "a long one has much left, 60:0, a:100:4 b:50:4, b",
        "not to slots kept for new requests, 10:0, a:150:4 b:60:2 c:90:4, c",
        "not a third time, 10:2, a:150:4 b:60:4, ''",
        "no target known, 10:0, b:60:4, ''",
    )
    fun `an item moves if that saves time`(
        case: String,
        item: String,
        targets: String,
        expected: String,
    ) {
        val paces = targets.split(' ').map { it.split(':') }.map { (id, millis, free) ->
            TargetPace(TargetId(id), millis.toDouble(), free.toInt(), slots = 8)
        }
        val eligible = paces.mapTo(HashSet()) { it.id }
        val (received, moves) = item.split(':').map { it.toInt() }
        val run = ItemRun(7, TargetId("a"), received, eligible, moves)
        val moved = itemsToMove(listOf(run), paces.associateBy { it.id }, typicalEvents = 20.0, maxMoves = 5)
        expectThat(moved.joinToString { it.target.value }).describedAs(case).isEqualTo(expected)
    }

    @Test
    fun `the items that save most move first, and share the free slots`() {
        val ids = listOf("a", "b", "c").map { TargetId(it) }
        val paces = ids.zip(listOf(200.0, 50.0, 60.0)).associate { (id, millis) -> id to TargetPace(id, millis, 3, 8) }
        val runs = listOf(5, 40, 20, 30).mapIndexed { ticket, received ->
            ItemRun(ticket, ids.first(), received, ids.toSet())
        }
        val moved = itemsToMove(runs, paces, typicalEvents = 10.0, maxMoves = 3)
        expectThat(moved.map { it.ticket to it.target.value }).isEqualTo(listOf(1 to "b", 3 to "c"))
    }

    /** A step of 16 groups of 8 items, at targets of which a fifth becomes 3.9 times slower after half a second. */
    @Test
    fun `a step ends earlier if a fifth of the targets becomes slow`() {
        val kept = (1..STEPS).map { stepMillis(Random(it), moving = false) }.average()
        val moved = (1..STEPS).map { stepMillis(Random(it), moving = true) }.average()
        expectThat(moved).isLessThan(kept * 0.75)
    }

    private class Simulated(val target: Int, val events: Int) {
        var at = target
        var done = 0.0
        var moves = 0
    }

    private fun stepMillis(
        random: Random,
        moving: Boolean,
    ): Int {
        val items = List(ITEMS) { Simulated(it / 8 % TARGETS, events(random)) }
        var nowMillis = 0
        while (items.groupBy { it.target }.values.count { group -> group.all { it.done >= it.events } } < NEEDED) {
            nowMillis += TICK_MILLIS
            val running = items.filter { it.done < it.events }
            running.forEach { it.done += TICK_MILLIS / eventMillis(it.at, nowMillis) }
            if (moving && nowMillis % 100 == 0) move(running, nowMillis)
        }
        return nowMillis
    }

    private fun move(
        running: List<Simulated>,
        nowMillis: Int,
    ) {
        val paces = (0 until TARGETS).associate { index ->
            val id = TargetId("$index")
            id to TargetPace(id, eventMillis(index, nowMillis), 8 - running.count { it.at == index }, 8)
        }
        val runs = running.mapIndexed { ticket, item ->
            ItemRun(ticket, TargetId("${item.at}"), item.done.toInt(), paces.keys, item.moves)
        }
        itemsToMove(runs, paces, typicalEvents = 20.0, maxMoves = maxOf(1, runs.size / 10)).forEach {
            running[it.ticket].at = it.target.value.toInt()
            running[it.ticket].moves++
            running[it.ticket].done = maxOf(0.0, running[it.ticket].done - 1)
        }
    }

    private fun eventMillis(
        target: Int,
        nowMillis: Int,
    ): Double = if (target % 5 == 0 && nowMillis > 500) 3.9 * USUAL_MILLIS else USUAL_MILLIS

    /** Mean 20, with a tail of 8 in 100 that are five times longer. */
    private fun events(random: Random): Int {
        val events = -15 * Math.log(1 - random.nextDouble())
        return (if (random.nextInt(100) < 8) events * 5 else events).toInt().coerceIn(1, 149)
    }

    private companion object {
        private const val STEPS = 20
        private const val TARGETS = 30
        private const val ITEMS = 128
        private const val NEEDED = 14
        private const val TICK_MILLIS = 10
        private const val USUAL_MILLIS = 47.0
    }
}
