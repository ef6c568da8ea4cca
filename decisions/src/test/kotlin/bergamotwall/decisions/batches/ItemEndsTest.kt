package bergamotwall.decisions.batches

import bergamotwall.decisions.placement.CandidateTarget
import bergamotwall.decisions.placement.Slowdown
import bergamotwall.model.TargetId
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.util.PriorityQueue
import kotlin.random.Random

internal class ItemEndsTest {
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "the target that generates fastest, a:0:1.0:100 b:3:0.6:100, 100, '', b",
        "an emptier target before one that is hardly faster, a:0:1.0:100 b:6:0.95:100, 100, '', a",
        "a momentary slowdown decides on a short item, a:0:1.0:400 b:0:1.5:100, 10, '', b",
        "it does not on a long one, a:0:1.0:400 b:0:1.5:100, 5000, '', a",
        "the cached prompt decides between similar targets, a:0:1.0:100 b:0:1.3:100, 100, b, b",
        "it does not where the target is much slower, a:0:1.0:100 b:0:1.3:300, 100, b, a",
    )
    fun `an item goes to the free slot where it is expected to end first`(
        case: String,
        targets: String,
        tokens: Long,
        cached: String,
        expected: String,
    ) {
        val candidates = targets.split(' ').map { candidate(it.split(':')) }
        val eligible = candidates.mapTo(HashSet()) { it.id }
        val cachedTarget = TargetId(cached).takeIf { cached.isNotEmpty() }
        val item = WaitingItem(0, 1_000, 0, tokens, eligible, groupTarget = cachedTarget)
        expectThat(assignItems(listOf(item), candidates).single().target.value).describedAs(case).isEqualTo(expected)
    }

    /** Guards against steps that wait for items at the slowest targets while faster ones have free slots. */
    @Test
    fun `replay - items placed by expected end are complete sooner than by free slots alone`() {
        val byEnd = (1..5).map { replay(Random(it), reported = true) }.average()
        val byFreeSlots = (1..5).map { replay(Random(it), reported = false) }.average()
        println("mean end of an item: $byEnd ms by expected end, $byFreeSlots ms by free slots")
        expectThat(byEnd).isLessThan(byFreeSlots * 0.9)
    }

    /** Plays 300 items, 10 ms apart, at 8 targets with lasting speeds of 0.7 to 1.7; mean time to the end. */
    private fun replay(
        random: Random,
        reported: Boolean,
    ): Double {
        val tokenMillis = List(TARGETS) { 0.7 + it.toDouble() / (TARGETS - 1) }
        val running = IntArray(TARGETS)
        val ends = PriorityQueue<Pair<Double, Int>>(compareBy { it.first })
        var totalMillis = 0.0
        repeat(ITEMS) { number ->
            val nowMillis = number * 10.0
            while (ends.isNotEmpty() && ends.peek().first <= nowMillis) running[ends.poll().second]--
            val slowdown = if (reported) Slowdown(1.0, 0) else null
            val candidates =
                List(TARGETS) { index ->
                    CandidateTarget(id(index), 8, running[index], local = true, available = true)
                        .copy(slowdown = slowdown, tokenMillis = tokenMillis[index])
                }
            val tokens = random.nextLong(50, 400)
            val item = WaitingItem(0, 0, number, tokens, candidates.mapTo(HashSet()) { it.id })
            val target = assignItems(listOf(item), candidates).single().target
            val index = (0 until TARGETS).first { id(it) == target }
            running[index]++
            totalMillis += tokens * tokenMillis[index]
            ends += nowMillis + tokens * tokenMillis[index] to index
        }
        return totalMillis / ITEMS
    }

    private fun id(index: Int) = TargetId("t$index")

    /** Fields: id, running requests, milliseconds a token, slowdown in percent. */
    private fun candidate(fields: List<String>) =
        CandidateTarget(
            TargetId(fields[0]),
            slots = 8,
            running = fields[1].toInt(),
            local = true,
            available = true,
            slowdown = Slowdown(fields[3].toInt() / 100.0, 0),
            tokenMillis = fields[2].toDouble(),
        )

    private companion object {
        private const val TARGETS = 8
        private const val ITEMS = 300
    }
}
