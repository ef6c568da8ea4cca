package bergamotwall.entry

import bergamotwall.decisions.admission.TailEstimator
import bergamotwall.drivers.ServiceResponse
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.Write
import bergamotwall.model.Batch
import bergamotwall.model.BatchOrder
import bergamotwall.model.Done
import bergamotwall.model.FetchSamples
import bergamotwall.model.GroupSpec
import bergamotwall.model.Member
import bergamotwall.model.MemberState
import bergamotwall.model.NodeId
import bergamotwall.model.NodeRole
import bergamotwall.model.PeerMessage
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.ReleaseSamples
import bergamotwall.model.RewarderIntent
import bergamotwall.model.RunState
import bergamotwall.model.Sample
import bergamotwall.model.ServiceName
import bergamotwall.model.StoreSample
import bergamotwall.model.StoredSamples
import bergamotwall.runtime.Node
import bergamotwall.runtime.SharedKeys
import bergamotwall.standins.fakes.CallFault
import bergamotwall.standins.fakes.ManualClock
import bergamotwall.standins.fakes.MemoryKeyValueStore
import bergamotwall.standins.fakes.MemoryPeers
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CopyOnWriteArrayList

/** An in-memory sample store. */
private class FakeSampleStore {
    val samplesByBatch = ConcurrentHashMap<Long, List<Sample>>()

    fun handle(message: PeerMessage): PeerMessage =
        when (message) {
            is StoreSample -> {
                samplesByBatch.merge(message.batch, listOf(message.sample)) { old, new -> old + new }
                Done
            }
            is FetchSamples -> StoredSamples(samplesByBatch[message.batch].orEmpty())
            is ReleaseSamples -> Done.also { samplesByBatch.keys.removeIf { it <= message.batch } }
            else -> Node.notServed(message)
        }

    fun ids(batch: Long): List<String> = samplesByBatch[batch].orEmpty().map { it.id.value }.distinct()
}

/** Runs batch jobs of several entries for one trainer, over an in-memory sample store and key-value service. */
internal class BatchJobTest {
    private class Fixture {
        val store = MemoryKeyValueStore(ManualClock())
        val sampleStore = FakeSampleStore()
        val rewarder = FakeRewarder()

        /** Whether the trainer has a rewarder. */
        var rewarded = false
        private val peers = MemoryPeers().apply { connect("s:2") { message, _ -> sampleStore.handle(message) } }
        private val order = BatchOrder(List(2) { GroupSpec("prompt $it", n = 3, enough = 2, maxTokens = 5) })
        var version = 1L

        suspend fun publish(next: Long) {
            version = next
            val put = Write.Put(SharedKeys.published(trainer.model), "$next")
            store.commit(Transaction(emptyList(), listOf(put)))
        }

        /** Runs a job on a new entry, which has no state in memory from earlier jobs. */
        suspend fun order(
            number: Long,
            groups: BatchOrder = order,
            onGenerate: suspend () -> Unit = {},
        ): Result<Batch, Problem> {
            val node = entryNode("a", store, peers)
            val member = Member(
                NodeId("s"),
                NodeRole.SAMPLES,
                node.settings.dataCentre,
                "s:2",
                "h",
                1,
                MemberState.ALIVE
            )
            node.fleetState.members.update { listOf(member) }
            node.sharedState.readAll()
            val engines = VersionedEngines({ version }, onGenerate)
            val runner = GenerationRunner(node, FakePermitSource(listOf("e1", "e2")), engines, RetryBudgets())
            val stores = SampleStores(node, FleetView(node.fleetState))
            val dependencies =
                BatchDependencies(
                    node,
                    GroupRunner(node, runner),
                    stores,
                    Manifests(node.store),
                    TailEstimator(),
                    SampleScorer(node) { call, _ -> rewarder.answer(call) },
                )
            val stats = TrainerStatsRef(TrainerStats(trainer.name, 0))
            val intent = trainer.copy(rewarder = RewarderIntent(ServiceName("s"), maxAttempts = 2).takeIf { rewarded })
            return BatchJob(dependencies, intent, number, groups, stats).run()
        }
    }

    private fun case(
        name: String,
        block: suspend Fixture.() -> Unit,
    ): DynamicTest = dynamicTest(name) { runBlocking { Fixture().apply { publish(1) }.block() } }

    private fun ids(batch: Batch?): List<String> = batch?.samples?.map { it.id.value }.orEmpty()

    @TestFactory
    fun `exactly once - a batch number always has the same content`(): List<DynamicTest> =
        listOf(
            case("a batch has the number of samples that was ordered") {
                expectThat(ids(order(1).get())).hasSize(4)
            },
            case("the response is lost, and another entry delivers the same batch") {
                expectThat(ids(order(1).get())).isEqualTo(ids(order(1).get()))
            },
            case("two entries that run concurrently deliver the same batch") {
                val both = runBlocking { List(2) { async { order(1) } }.awaitAll() }.map { ids(it.get()) }
                expectThat(both[0]).isEqualTo(both[1]).hasSize(4)
            },
            case("another entry commits right before this one does") {
                var other = emptyList<String>()
                store.beforeCommit = { other = ids(order(1).get()) }
                expectThat(ids(order(1).get())).isEqualTo(other).hasSize(4)
            },
            case("the response to the commit is lost") {
                store.failWrites(CallFault.LOST_RESPONSE)
                val first = ids(order(1).get())
                expectThat(ids(order(1).get())).isEqualTo(first)
            },
            case("the commit fails after the samples were stored, and no sample is stored twice") {
                store.failWrites(CallFault.UNREACHABLE)
                expectThat(ids(order(1).get())).hasSize(4)
                expectThat(sampleStore.samplesByBatch[1])
                    .isNotNull()
                    .hasSize(sampleStore.samplesByBatch.getValue(1).toSet().size)
            },
            case("ordering the next batch number generates a new batch and releases the previous one") {
                val first = ids(order(1).get())
                val second = ids(order(2).get())
                expectThat(second.toSet() intersect first.toSet()).hasSize(0)
                expectThat(sampleStore.samplesByBatch.keys.toSet()).isEqualTo(setOf(2L))
            },
            case("a batch number out of order, or ordered with different groups, is refused") {
                expectThat(order(3).getError()).isNotNull()
                order(1)
                expectThat(order(1, BatchOrder(listOf(GroupSpec("other", 1, 1, 5)))).getError()).isNotNull()
            },
            case("samples lost with a sample store are generated again") {
                val first = ids(order(1).get())
                sampleStore.samplesByBatch.clear()
                val again = order(1).get()
                expectThat(again?.attempt).isEqualTo(2)
                expectThat(ids(again)).hasSize(4).isNotEqualTo(first)
                expectThat(ids(order(1).get())).isEqualTo(ids(again))
            },
        )

    @TestFactory
    fun `staleness - no sample older than the bound is delivered`(): List<DynamicTest> =
        listOf(
            case("samples that expire when a version is published during generation are replaced") {
                var published = false
                val batch =
                    order(1) {
                        if (!published) {
                            published = true
                            publish(4)
                        }
                    }.get()
                expectThat(batch).isNotNull().get { samples.minOf { it.versions.min().value } }.isEqualTo(4)
            },
            case("a version is published between the staleness check and the commit") {
                store.beforeCommit = { publish(4) }
                val batch = order(1).get()
                expectThat(batch).isNotNull().and {
                    get { published.value }.isEqualTo(4)
                    get { samples.minOf { it.versions.min().value } }.isEqualTo(4)
                }
            },
            case("a batch whose samples have expired is generated again when it is ordered again") {
                order(1)
                publish(5)
                val again = order(1).get()
                expectThat(again).isNotNull().and {
                    get { attempt }.isEqualTo(2)
                    get { samples.minOf { it.versions.min().value } }.isEqualTo(5)
                }
            },
            case("a batch within the bound is redelivered") {
                val first = ids(order(1).get())
                publish(2)
                expectThat(ids(order(1).get())).isEqualTo(first)
            },
        )

    @TestFactory
    fun `rewards - a trainer with a rewarder gets scored samples only`(): List<DynamicTest> =
        listOf(
            rewardedCase("each sample has the score of its text, and is stored before it is scored") {
                rewarder.beforeCall = { id -> expectThat(sampleStore.ids(1)).contains(id) }
                val batch = order(1).get()
                expectThat(batch?.samples?.map { it.score }?.distinct()).isEqualTo(listOf("0.5"))
                expectThat(rewarder.calls.map { it.request.path }.distinct()).isEqualTo(listOf("/score"))
            },
            rewardedCase("the owner dies before the scores are known: another entry repeats the calls alone") {
                rewarder.answers += List(4) { Err(Problem(ProblemKind.UNAVAILABLE, "gone", RunState.NOT_RUN)) }
                var generated = 0
                withTimeoutOrNull(DEATH_MILLIS) {
                    rewarder.beforeCall = { awaitCancellation() }
                    order(1) { generated++ }
                }
                val stored = sampleStore.ids(1)
                val before = generated
                rewarder.beforeCall = { }
                val batch = order(1) { generated++ }.get()
                expectThat(ids(batch)).hasSize(4)
                expectThat(stored.containsAll(ids(batch))).isTrue()
                expectThat(generated).isEqualTo(before)
            },
            rewardedCase("a sample whose call fails always is replaced") {
                rewarder.answers += List(2) { Ok(ServiceResponse(500, "text/plain", "0.9")) }
                val batch = order(1).get()
                expectThat(batch?.samples?.map { it.score }?.distinct()).isEqualTo(listOf("0.5"))
                expectThat(ids(batch)).hasSize(4)
            },
            rewardedCase("calls that did not run use up no attempts") {
                val notRun = Problem(ProblemKind.OVERLOADED, "full", RunState.NOT_RUN, retryAfterMillis = 1)
                rewarder.answers += List(20) { Err(notRun) }
                val batch = order(1).get()
                val called = rewarder.calls.map { it.id.value.removePrefix("reward-") }
                expectThat(ids(batch)).hasSize(4)
                expectThat(called.containsAll(ids(batch))).isTrue()
                expectThat(called.distinct().size).isLessThanOrEqualTo(MAX_GENERATIONS)
            },
            rewardedCase("an empty or overlong response is no score") {
                rewarder.answers += Ok(ServiceResponse(200, "text/plain", " "))
                rewarder.answers += Ok(ServiceResponse(200, "text/plain", "x".repeat(2_000)))
                expectThat(order(1).get()?.samples?.map { it.score }?.distinct()).isEqualTo(listOf("0.5"))
            },
            case("a trainer without a rewarder gets samples without scores, and no call is sent") {
                expectThat(order(1).get()?.samples?.map { it.score }?.distinct()).isEqualTo(listOf(null))
                expectThat(rewarder.calls).hasSize(0)
            },
        )

    private fun rewardedCase(
        name: String,
        block: suspend Fixture.() -> Unit,
    ): DynamicTest =
        case(name) {
            rewarded = true
            block()
        }

    private companion object {
        /** Longer than the fakes take to generate and store a batch. */
        private const val DEATH_MILLIS = 1_000L

        /** Two groups start three generations each, of which none may have been replaced. */
        private const val MAX_GENERATIONS = 6
    }
}

/** A rewarder that gives [answers] in turn, and then a score to each call. */
private class FakeRewarder {
    val calls = CopyOnWriteArrayList<ServiceCall>()
    val answers = ConcurrentLinkedQueue<Result<ServiceResponse, Problem>>()

    /** Runs before each answer, with the id of the sample. */
    var beforeCall: suspend (String) -> Unit = { }

    suspend fun answer(call: ServiceCall): Result<ServiceResponse, Problem> {
        calls += call
        beforeCall(call.id.value.removePrefix("reward-"))
        return answers.poll() ?: Ok(ServiceResponse(200, "text/plain", "0.5"))
    }
}
