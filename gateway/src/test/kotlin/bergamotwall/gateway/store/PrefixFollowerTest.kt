package bergamotwall.gateway.store

import bergamotwall.drivers.ChangeFeed
import bergamotwall.drivers.KeyValueChange
import bergamotwall.drivers.KeyValueChanges
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.Write
import bergamotwall.standins.fakes.ManualClock
import bergamotwall.standins.fakes.MemoryKeyValueStore
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

@OptIn(ExperimentalCoroutinesApi::class)
internal class PrefixFollowerTest {
    private val store = MemoryKeyValueStore(ManualClock())
    private val asked = ArrayList<Long>()
    private val seen = ArrayList<Set<String>>()

    @Test
    fun `a call that heard nothing does not move the follower past a change that it missed`() =
        follow(
            listOf(
                // The service was deaf: the revision moved on, the change did not come.
                Ok(KeyValueChanges(emptyList(), 9)),
                Ok(KeyValueChanges(listOf(KeyValueChange.Put(KeyValueEntry("p/late", "v", 5, 5))), 9)),
            ),
        ) {
            expectThat(asked.take(2).distinct().size).isEqualTo(1)
            expectThat(seen.last()).containsExactly("p/late")
        }

    @Test
    fun `history that is gone makes it list anew`() =
        follow(listOf(Err(KeyValueError.HistoryGone("dropped")))) { expectThat(seen.size).isEqualTo(2) }

    private fun follow(
        answers: List<Result<KeyValueChanges, KeyValueError>>,
        check: TestScope.() -> Unit,
    ) = runTest {
        store.commit(Transaction(emptyList(), listOf(Write.Put("other", "v"))))
        val script = ArrayDeque(answers)
        val feed =
            ChangeFeed { _, after, _ ->
                asked += after
                script.removeFirstOrNull() ?: awaitCancellation()
            }
        val timing = FollowTiming(waitMillis = 1_000, coalesceMillis = 10, graceMillis = 100, retryMillis = 50)
        val follower = PrefixFollower("p/", store, feed, ManualClock(), timing) { seen += it.keys }
        val job = follower.start(this)
        advanceTimeBy(5_000)
        check()
        job.cancel()
    }
}
