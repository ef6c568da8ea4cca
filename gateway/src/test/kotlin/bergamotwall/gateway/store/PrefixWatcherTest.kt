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
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
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

    /**
     * A response with changes may have been delayed on its way, and a further change may have followed meanwhile, for
     * example the removal of a key. It proves that the entries are current as of its request only.
     */
    @ParameterizedTest(name = "proves changes at once: {0}")
    @CsvSource("true, 0", "false, 1000")
    fun `a delayed response with changes proves nothing about the time since its request`(
        atOnce: Boolean,
        nextWaitMillis: Long,
    ) = runTest {
        val clock = ManualClock()
        val startMillis = clock.monotonicMillis()
        val waits = ArrayList<Long>()
        val appliedAtChange = ArrayList<Long?>()
        val feed =
            ChangeFeed { _, _, waitMillis ->
                waits += waitMillis
                if (waits.size > 1) awaitCancellation()
                clock.advance(700)
                Ok(KeyValueChanges(listOf(KeyValueChange.Put(KeyValueEntry("p/key", "v", 5, 5))), 9))
            }
        val timing = WatchTiming(1_000, { 10 }, 100, { null }, retryMillis = 50, provesChangesAtOnce = atOnce)
        lateinit var watcher: PrefixWatcher
        watcher = PrefixWatcher("p/", store, feed, clock, timing) {
            clock.advance(40)
            appliedAtChange += watcher.appliedConfirmation?.atMillis
        }
        val job = watcher.start(this)
        advanceTimeBy(5_000)
        // The listing was requested at the start, and the poll when its entries had been passed on.
        expectThat(watcher.appliedConfirmation?.atMillis).isEqualTo(startMillis + 40)
        expectThat(watcher.confirmation?.atMillis).isEqualTo(startMillis + 740)
        // Recorded only once the entries are in force.
        expectThat(appliedAtChange).containsExactly(null, startMillis)
        expectThat(waits).containsExactly(1_000, nextWaitMillis)
        job.cancel()
    }

    @ParameterizedTest(name = "the last response came {0} ms before: kept {1}")
    @CsvSource("300, false", "1900, false", "2000, true", "9000, true")
    fun `a target that leaves after its watch was cut is kept only if there was an outage`(
        silentMillis: Long,
        kept: Boolean,
    ) {
        val clock = ManualClock()
        val outages = StoreOutages(clock, 2_000)
        outages.responded()
        clock.advance(silentMillis)
        outages.responded()
        val responses =
            listOf(
                Err(KeyValueError.Unavailable("the connection was closed", mayHaveApplied = false)),
                Ok(KeyValueChanges(listOf(KeyValueChange.Put(KeyValueEntry("p/target", "v", 5, 5))), 9)),
                Ok(KeyValueChanges(listOf(KeyValueChange.Deleted("p/target")), 10)),
            )
        watch(responses, clock, outages) {
            expectThat("p/target" in snapshots.last()).isEqualTo(kept)
        }
    }

    private fun watch(
        responses: List<Result<KeyValueChanges, KeyValueError>>,
        clock: ManualClock = ManualClock(),
        outages: StoreOutages = StoreOutages(clock, 2_000),
        check: TestScope.() -> Unit,
    ) = runTest {
        store.commit(Transaction(emptyList(), listOf(Write.Put("other", "v"))))
        val script = ArrayDeque(responses)
        val feed =
            ChangeFeed { _, after, _ ->
                polledRevisions += after
                script.removeFirstOrNull() ?: awaitCancellation()
            }
        val timing = WatchTiming(1_000, { 10 }, graceMillis = 100, { outages.endedAtMillis }, retryMillis = 50)
        val watcher = PrefixWatcher("p/", store, feed, clock, timing) { snapshots += it.keys }
        val job = watcher.start(this)
        advanceTimeBy(5_000)
        check()
        job.cancel()
    }
}
