package bergamotwall.decisions.placement

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

/** The guarantees of the dispatcher hold for every order of events. */
internal class DispatcherProperties {
    @Property(tries = 300, seed = "4711")
    fun `every request has one outcome and no window is exceeded`(
        @ForAll @IntRange(min = 0, max = 1_000_000) seed: Int,
        @ForAll @IntRange(min = 20, max = 120) length: Int,
    ) {
        val random = Random(seed)
        val steps = List(length) { random.nextInt(10_000) }
        val fixture = DispatchFixture(targets = 3, slots = 3)
        val events = RandomEvents(fixture)
        steps.forEachIndexed { i, step ->
            val grantsBefore = fixture.grants.size
            fixture.nowMillis += step % 50
            events.perform(step, i)
            events.running += fixture.grants.keys.drop(grantsBefore)
            val busiest = events.running.groupingBy { fixture.grants.getValue(it) }.eachCount().values.maxOrNull() ?: 0
            expectThat(busiest).isLessThanOrEqualTo(3)
            expectThat(fixture.load().running).isEqualTo(events.running.size)
        }
        val grantedAndRefused = fixture.grants.keys intersect fixture.refusals.keys
        expectThat(grantedAndRefused).isEmpty()
        val decided = fixture.grants.keys + fixture.refusals.keys + events.withdrawn
        expectThat(events.submitted.size - events.submitted.count { it in decided }).isEqualTo(fixture.load().queued)
    }
}

/** Applies random steps to [fixture] and tracks the requests. */
private class RandomEvents(private val fixture: DispatchFixture) {
    val running = LinkedHashSet<String>()
    val submitted = ArrayList<String>()
    val withdrawn = HashSet<String>()

    fun perform(
        step: Int,
        i: Int,
    ) {
        when (step % 10) {
            in 0..4 -> {
                submitted += "r$i"
                fixture.submit("r$i", PriorityClass.entries[step % 3], "flow${step % 4}", content = step.toLong())
            }
            5, 6 -> running.firstOrNull()?.let { finish(it, RunOutcome.WHOLE) }
            7 -> running.lastOrNull()?.let { finish(it, RunOutcome.NOT_STARTED) }
            8 -> submitted.getOrNull(step % (submitted.size + 1))?.let { withdraw(it) }
            else -> fixture.report("t${step % 3}", version = step.toLong())
        }
    }

    private fun withdraw(id: String) {
        if (id in fixture.refusals) return
        withdrawn += id
        running -= id
        fixture.handle(DispatchEvent.Withdrawn(RequestId(id)))
    }

    private fun finish(
        id: String,
        outcome: RunOutcome,
    ) {
        running -= id
        fixture.finish(id, outcome)
    }
}
