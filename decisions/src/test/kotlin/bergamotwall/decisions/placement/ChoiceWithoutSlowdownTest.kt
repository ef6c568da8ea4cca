package bergamotwall.decisions.placement

import bergamotwall.decisions.batches.ItemAssignment
import bergamotwall.decisions.batches.WaitingItem
import bergamotwall.decisions.batches.assignItems
import bergamotwall.model.TargetId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.random.Random

/** Guards against another choice where targets report three numbers: compares with the formulas from before. */
internal class ChoiceWithoutSlowdownTest {
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(ints = [1, 2, 3])
    fun `requests and items go where they went before targets could report a slowdown`(seed: Int) {
        val random = Random(seed)
        repeat(2_000) { round ->
            val candidates = List(random.nextInt(1, 9)) { candidate(it, random) }
            val admitted = candidates.filter { it.admitted > 0 }
            val before = admitted.filter { it.available }.ifEmpty { admitted }
            val spread = Random(round)
            val expected = before.minByOrNull { millisBefore(it) * (1 + spread.nextDouble() * 0.1) }
            expectThat(chooseTarget(candidates, emptySet(), Random(round))).isEqualTo(expected)
            val items = List(random.nextInt(12)) { item(it, candidates, random) }
            expectThat(assignItems(items, candidates)).isEqualTo(assignedBefore(items, candidates))
        }
    }

    private fun millisBefore(target: CandidateTarget): Double {
        val latencyMillis = if (target.latencyMillis > 0) target.latencyMillis.toDouble() else 10.0
        val occupancy = target.running.toDouble() / maxOf(1, target.slots)
        val waitFactor = if (occupancy < 1) 1 + occupancy * occupancy else 1 + occupancy * 2.0
        return latencyMillis * waitFactor + if (target.local) 0.0 else 4.0
    }

    private fun assignedBefore(
        waiting: List<WaitingItem>,
        candidates: List<CandidateTarget>,
    ): List<ItemAssignment> {
        val free = candidates.filter { it.available }.associateTo(HashMap()) { it.id to it.free }
        val slots = candidates.associate { it.id to maxOf(1, it.slots) }
        val groupTargets = HashMap<Pair<Long, Int>, TargetId>()
        val order =
            compareBy<WaitingItem> { it.dueAtMillis }.thenBy { it.groupOrder }.thenByDescending { it.expectedTokens }
        return waiting.sortedWith(order).mapNotNull { item ->
            val withFreeSlot = item.eligible.filter { (free[it] ?: 0) > 0 }
            val pool = withFreeSlot.filter { it != item.avoid }.ifEmpty { withFreeSlot }
            val group = item.dueAtMillis to item.groupOrder
            val preferred = (groupTargets[group] ?: item.groupTarget)?.takeIf { it in pool }
            val target = preferred ?: pool.minByOrNull { -(free.getValue(it).toDouble() / slots.getValue(it)) }
            target?.let {
                groupTargets[group] = it
                free[it] = free.getValue(it) - 1
                ItemAssignment(item.ticket, it)
            }
        }
    }

    private fun candidate(
        index: Int,
        random: Random,
    ) = CandidateTarget(
        TargetId("t$index"),
        slots = random.nextInt(1, 9),
        running = random.nextInt(12),
        local = random.nextBoolean(),
        available = random.nextInt(4) > 0,
        latencyMillis = random.nextLong(0, 300),
        admitted = if (random.nextInt(4) == 0) random.nextInt(3) else Int.MAX_VALUE,
    )

    private fun item(
        ticket: Int,
        candidates: List<CandidateTarget>,
        random: Random,
    ) = WaitingItem(
        ticket,
        dueAtMillis = random.nextLong(2),
        groupOrder = random.nextInt(3),
        expectedTokens = random.nextLong(1, 500),
        eligible = candidates.filter { random.nextBoolean() }.mapTo(HashSet()) { it.id },
        avoid = candidates.random(random).id.takeIf { random.nextBoolean() },
        groupTarget = candidates.random(random).id.takeIf { random.nextBoolean() },
    )
}
