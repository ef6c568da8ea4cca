package bergamotwall.gateway.duties

import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.Transaction
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.model.NodeId
import bergamotwall.runtime.Clock
import bergamotwall.runtime.Journal
import bergamotwall.runtime.Leadership
import bergamotwall.runtime.LeadershipDependencies
import bergamotwall.runtime.LeadershipKeys
import bergamotwall.standins.fakes.MemoryKeyValueStore
import com.github.michaelbull.result.get
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull

/** Calls of 66 processes that compete for a leadership whose keys they watch, in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class LeadershipCallsTest {
    private val keys = LeadershipKeys(GatewayKeys.USAGE_LEADER, GatewayKeys.LAST_USAGE_LEADER)
    private val ids = (1..PROCESSES).map { NodeId("p$it") }
    private val leaderships = HashMap<NodeId, Leadership>()
    private val jobs = HashMap<NodeId, Job>()
    private var reads = 0
    private var commits = 0

    /** Guards against several calls of each process each time a leadership is free. */
    @Test
    fun `in a large fleet one process makes the calls that acquire a free leadership`() =
        runTest {
            start(candidates = ids)
            advanceTimeBy(STARTED_MILLIS)
            expectThat(leaders()).hasSize(1)
            expectThat(reads).isEqualTo(0)
            expectThat(commits).isEqualTo(2)
        }

    /** Guards against a fleet without a leader because the next one in the order has failed too. */
    @Test
    fun `after a leader and the next processes have failed another one follows`() =
        runTest {
            start(candidates = ids)
            advanceTimeBy(STARTED_MILLIS)
            val first = leaders().single()
            val fence = leaderships.getValue(first).holding?.fence
            ids.filter { it == first || it.value < "p3" }.forEach { jobs.getValue(it).cancel() }
            advanceTimeBy(TAKEN_OVER_MILLIS)
            expectThat(leaders().single()).isNotEqualTo(first)
            expectThat(leaderships.getValue(leaders().single()).holding?.fence).isNotNull()
                .get { value }.isGreaterThan(checkNotNull(fence).value)
            expectThat(reads).isLessThan(PROCESSES / 2)
        }

    @Test
    fun `in a small fleet the keys are read`() =
        runTest {
            start(candidates = emptyList())
            advanceTimeBy(STARTED_MILLIS)
            expectThat(leaders()).hasSize(1)
            expectThat(reads).isGreaterThanOrEqualTo(PROCESSES)
        }

    private fun leaders() = ids.filter { leaderships.getValue(it).mayAct() }

    private fun TestScope.start(candidates: List<NodeId>) {
        val clock =
            object : Clock {
                override fun monotonicMillis(): Long = currentTime

                override fun wallMillis(): Long = currentTime
            }
        val memory = MemoryKeyValueStore(clock)
        val store =
            object : KeyValueStore by memory {
                override suspend fun get(key: String) =
                    memory.get(key).also {
                        reads++
                        delay(CALL_MILLIS)
                    }

                override suspend fun commit(transaction: Transaction) =
                    memory.commit(transaction).also {
                        commits++
                        delay(CALL_MILLIS)
                    }
            }
        ids.forEachIndexed { index, id ->
            val vacancy = LeadershipVacancy(keys, id, clock) { candidates }
            val leadership =
                Leadership("usage", LeadershipDependencies(id, store, clock, Journal(id, clock)), TTL_SECONDS, keys) {
                    vacancy.watched
                }
            leaderships[id] = leadership
            jobs[id] =
                backgroundScope.launch {
                    launch {
                        while (true) {
                            val entries = memory.list(GatewayKeys.LIVE).get()?.entries.orEmpty()
                            delay(NEWS_MILLIS)
                            vacancy.onStoreChanged(entries.associateBy { it.key })
                        }
                    }
                    delay(index % STEP_MILLIS)
                    while (true) {
                        if (leadership.holding != null || vacancy.shouldAcquire()) leadership.step()
                        if (leadership.mayAct()) leadership.startActing()
                        delay(STEP_MILLIS)
                    }
                }
        }
    }

    private companion object {
        private const val PROCESSES = 66
        private const val TTL_SECONDS = 3L

        /** Changes are known after one to two of these, as over a follower that pauses after changes. */
        private const val NEWS_MILLIS = 150L
        private const val CALL_MILLIS = 5L
        private const val STEP_MILLIS = 100L
        private const val STARTED_MILLIS = 5_000L
        private const val TAKEN_OVER_MILLIS = 12_000L
    }
}
