package bergamotwall.decisions.batches

import bergamotwall.decisions.placement.CandidateTarget
import bergamotwall.model.TargetId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

internal class ItemAssignmentTest {
    private val a = TargetId("a")
    private val b = TargetId("b")

    @Test
    fun `more items than slots - batch that is due first, then groups in order, then the longest item`() {
        val waiting =
            listOf(
                item(0, due = 2_000, group = 0, tokens = 500),
                item(1, due = 1_000, group = 1, tokens = 900),
                item(2, due = 1_000, group = 0, tokens = 100),
                item(3, due = 1_000, group = 0, tokens = 300),
            )
        val assigned = assignItems(waiting, listOf(target(a, slots = 3)))
        expectThat(assigned.map { it.ticket }).containsExactly(3, 2, 1)
    }

    @Test
    fun `items of a group share a target while it has slots`() {
        val waiting = (0 until 6).map { item(it, group = it / 3) }
        val assigned = assignItems(waiting, listOf(target(a, slots = 4), target(b, slots = 4)))
        val targets = assigned.groupBy({ it.ticket / 3 }, { it.target }).mapValues { (_, list) -> list.distinct().size }
        expectThat(assigned).hasSize(6)
        expectThat(targets).isEqualTo(mapOf(0 to 1, 1 to 1))
    }

    @Test
    fun `the target that failed an item gets it again only if no other is free`() {
        val both = listOf(target(a, slots = 1), target(b, slots = 1))
        val avoiding = item(0).copy(avoid = a)
        expectThat(assignItems(listOf(avoiding), both).single().target).isEqualTo(b)
        expectThat(assignItems(listOf(avoiding), both.take(1)).single().target).isEqualTo(a)
    }

    @Test
    fun `no item goes to a target that has too old weights, is full or backs off`() {
        val stale = item(0).copy(eligible = setOf(b))
        expectThat(assignItems(listOf(stale), listOf(target(a, slots = 4)))).isEmpty()
        expectThat(assignItems(listOf(item(0)), listOf(target(a, slots = 2, running = 2)))).isEmpty()
        expectThat(assignItems(listOf(item(0)), listOf(target(a, slots = 2).copy(available = false)))).isEmpty()
    }

    /** The priority of the workspace counts before that of the route, and only among items due at the same time. */
    @Test
    fun `among items due at the same time, those of a higher priority go first`() {
        val waiting =
            listOf(
                item(0).copy(priority = ItemPriority(workspace = 1, route = 0)),
                item(1).copy(priority = ItemPriority(workspace = 0, route = 2)),
                item(2).copy(priority = ItemPriority(workspace = 0, route = 1)),
                item(3, due = 999).copy(priority = ItemPriority(workspace = 9, route = 9)),
            )
        val assigned = assignItems(waiting, listOf(target(a, slots = 4)))
        expectThat(assigned.map { it.ticket }).containsExactly(3, 2, 1, 0)
    }

    private fun item(
        ticket: Int,
        due: Long = 1_000,
        group: Int = 0,
        tokens: Long = 100,
    ) = WaitingItem(ticket, due, group, tokens, setOf(a, b))

    private fun target(
        id: TargetId,
        slots: Int,
        running: Int = 0,
    ) = CandidateTarget(id, slots, running, local = true, available = true)
}
