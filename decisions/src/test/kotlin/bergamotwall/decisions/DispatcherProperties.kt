package bergamotwall.decisions

import bergamotwall.model.PriorityClass
import bergamotwall.model.RequestId
import bergamotwall.model.RunOutcome
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

/** Whatever the order of events, the dispatcher keeps its guarantees. */
internal class DispatcherProperties {
    @Property(tries = 300, seed = "4711")
    fun `every offer has one fate and no window overflows`(
        @ForAll @IntRange(min = 0, max = 1_000_000) seed: Int,
        @ForAll @IntRange(min = 20, max = 120) length: Int,
    ) {
        val random = Random(seed)
        val steps = List(length) { random.nextInt(10_000) }
        val fixture = DispatchFixture(targets = 3, slots = 3)
        val run = Run(fixture)
        steps.forEachIndexed { i, step ->
            val seen = fixture.grants.size
            fixture.nowMillis += step % 50
            run.play(step, i)
            run.open += fixture.grants.keys.drop(seen)
            val busiest = run.open.groupingBy { fixture.grants.getValue(it) }.eachCount().values.maxOrNull() ?: 0
            expectThat(busiest).isLessThanOrEqualTo(3)
            expectThat(fixture.load().running).isEqualTo(run.open.size)
        }
        val both = fixture.grants.keys intersect fixture.refusals.keys
        expectThat(both).isEmpty()
        val fates = fixture.grants.keys + fixture.refusals.keys + run.withdrawn
        expectThat(run.offered.size - run.offered.count { it in fates }).isEqualTo(fixture.load().queued)
    }
}

/** What the test knows of the requests that it played. */
private class Run(private val fixture: DispatchFixture) {
    val open = LinkedHashSet<String>()
    val offered = ArrayList<String>()
    val withdrawn = HashSet<String>()

    fun play(
        step: Int,
        i: Int,
    ) {
        when (step % 10) {
            in 0..4 -> {
                offered += "r$i"
                fixture.offer("r$i", PriorityClass.entries[step % 3], "flow${step % 4}", content = step.toLong())
            }
            5, 6 -> open.firstOrNull()?.let { finish(it, RunOutcome.WHOLE) }
            7 -> open.lastOrNull()?.let { finish(it, RunOutcome.NOT_STARTED) }
            8 -> offered.getOrNull(step % (offered.size + 1))?.let { withdraw(it) }
            else -> fixture.report("t${step % 3}", version = step.toLong())
        }
    }

    private fun withdraw(id: String) {
        if (id in fixture.refusals) return
        withdrawn += id
        open -= id
        fixture.tell(DispatchEvent.Withdrawn(RequestId(id)))
    }

    private fun finish(
        id: String,
        outcome: RunOutcome,
    ) {
        open -= id
        fixture.finish(id, outcome)
    }
}
