package bergamotwall.decisions.batches

import bergamotwall.decisions.admission.TailEstimator
import bergamotwall.model.GroupSpec
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isTrue

internal class GroupTrackerTest {
    private val spec = GroupSpec("p", n = 6, enough = 4, maxTokens = 9)

    @Test
    fun `the rest is cancelled as soon as enough generations have completed`() {
        val tracker = GroupTracker(spec, TailEstimator())
        expectThat(tracker.begin(0).start).containsExactly(0, 1, 2, 3, 4)
        listOf(4, 2, 0).forEach { tracker.completed(it, 10) }
        expectThat(tracker.completed(1, 11).cancel).containsExactly(3)
        expectThat(tracker.complete).isTrue()
        expectThat(tracker.completed(3, 12).cancel).isEmpty()
    }

    @Test
    fun `a failed generation is replaced by a new one`() {
        val tracker = GroupTracker(spec, TailEstimator())
        tracker.begin(0)
        expectThat(tracker.failed(2, 5).start).containsExactly(5)
    }

    @Test
    fun `equal durations start no spares, a long tail starts all`() {
        val equal = TailEstimator().apply { repeat(64) { add(100) } }
        expectThat(GroupTracker(spec, equal).begin(0).start).hasSize(4)
        val longTail = TailEstimator().apply { repeat(64) { add(if (it % 2 == 0) 100 else 900) } }
        expectThat(GroupTracker(spec, longTail).begin(0).start).hasSize(6)
    }

    @Test
    fun `a straggler gets a spare, once`() {
        val equal = TailEstimator().apply { repeat(64) { add(100) } }
        val tracker = GroupTracker(spec, equal)
        tracker.begin(0)
        listOf(0, 1, 2).forEach { tracker.completed(it, 90) }
        expectThat(tracker.tick(100).start).isEmpty()
        expectThat(tracker.tick(101).start).containsExactly(4)
        expectThat(tracker.tick(102).start).isEmpty()
    }
}
