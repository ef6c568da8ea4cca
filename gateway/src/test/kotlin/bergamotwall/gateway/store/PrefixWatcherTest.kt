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
internal class PrefixWatcherTest {
    private val store = MemoryKeyValueStore(ManualClock())
    private val polledRevisions = ArrayList<Long>()
    private val snapshots = ArrayList<Set<String>>()

    @Test
    fun `a poll without changes does not advance the revision past a change that it missed`() =
        watch(
            listOf(
                // The poll missed the change: it returns a later revision without changes.
                Ok(KeyValueChanges(emptyList(), 9)),
                Ok(KeyValueChanges(listOf(KeyValueChange.Put(KeyValueEntry("p/late", "v", 5, 5))), 9)),
            ),
        ) {
            expectThat(polledRevisions.take(2).distinct().size).isEqualTo(1)
            expectThat(snapshots.last()).containsExactly("p/late")
        }

    @Test
    fun `lists the prefix again if the history has been dropped`() =
        watch(listOf(Err(KeyValueError.HistoryCompacted("dropped")))) { expectThat(snapshots.size).isEqualTo(2) }

    private fun watch(
        responses: List<Result<KeyValueChanges, KeyValueError>>,
        check: TestScope.() -> Unit,
    ) = runTest {
        store.commit(Transaction(emptyList(), listOf(Write.Put("other", "v"))))
        val script = ArrayDeque(responses)
        val feed =
            ChangeFeed { _, after, _ ->
                polledRevisions += after
                script.removeFirstOrNull() ?: awaitCancellation()
            }
        val timing = WatchTiming(waitMillis = 1_000, pauseMillis = { 10 }, graceMillis = 100, retryMillis = 50)
        val watcher = PrefixWatcher("p/", store, feed, ManualClock(), timing) { snapshots += it.keys }
        val job = watcher.start(this)
        advanceTimeBy(5_000)
        check()
        job.cancel()
    }
}
