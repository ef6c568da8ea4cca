package bergamotwall.gateway.batches

import bergamotwall.decisions.ownerOf
import bergamotwall.decisions.rankOf
import bergamotwall.gateway.members.GatewayMember
import bergamotwall.model.Alive
import bergamotwall.model.DataCentre
import bergamotwall.model.NodeId
import com.github.michaelbull.result.get
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo

@OptIn(ExperimentalCoroutinesApi::class)
internal class OrphanAdopterTest {
    private val fixture = BatchFixture()
    private val formerOwner = GatewayMember(NodeId("former"), 1, DataCentre("x"), "former:1", ready = true)

    @AfterEach
    fun close(): Unit = fixture.close()

    @Test
    fun `two simultaneous changes of the members adopt a batch once`() =
        runTest(fixture.dispatcher) {
            fixture.storeBatch(owner = "former", incarnation = 1)
            val batches = fixture.batches(this)
            launch { batches.membersChanged() }
            launch { batches.membersChanged() }
            advance(100)
            expectThat(adoptions()).hasSize(1)
        }

    @ParameterizedTest(name = "owner {0} in incarnation {1}, registered {2}, responds {3}, ended {4}: adopted {5}")
    @CsvSource(
        "former, 1, false, false, false, true",
        // The owner still runs, although its registration expired.
        "former, 1, false, true, false, false",
        "former, 1, true, false, false, false",
        "former, 1, false, false, true, false",
        // The owner is an earlier incarnation of this process.
        "self, 1, false, false, false, true",
    )
    @Suppress("LongParameterList") // one parameter per column of the table
    fun `a batch is adopted if its owner is neither registered nor responds`(
        owner: String,
        incarnation: Long,
        registered: Boolean,
        responds: Boolean,
        ended: Boolean,
        adopted: Boolean,
    ) = runTest(fixture.dispatcher) {
        val batches = fixture.batches(this)
        fixture.setMembers(batches, formerOwner)
        if (responds) fixture.peers.connect("former:1") { _, _ -> Alive(1) }
        fixture.storeBatch(owner, incarnation, ended)
        if (!registered) fixture.setMembers(batches)
        advance(10_000)
        expectThat(adoptions().size).isEqualTo(if (adopted) 1 else 0)
        val stored = checkNotNull(BatchStore(fixture.memoryStore).ownership(fixture.id).get()).ownership
        expectThat(stored.owner.value).isEqualTo(if (adopted) "self" else owner)
    }

    /**
     * Guards against listings of all batches by each process of a large fleet that starts: one at its start, and one
     * when it first knows the members.
     */
    @ParameterizedTest(name = "large fleet {0}, assigned owner {1}: {2} listings")
    @CsvSource("false, false, 2", "true, false, 0", "true, true, 2")
    fun `few processes of a large fleet that starts search for orphans`(
        large: Boolean,
        assigned: Boolean,
        listings: Int,
    ) = runTest(fixture.dispatcher) {
        fixture.largeFleet = large
        val batches = fixture.batches(this)
        val others =
            (1..200).map { GatewayMember(NodeId("m$it"), 1, DataCentre("x"), "m$it:1", "m$it:2", ready = true) }
                .filter { rankOf("orphans", fixture.self.id, listOf(it.id)) == 1 }
                .filter { !assigned || ownerOf(fixture.route.name, listOf(fixture.self.id, it.id)) == fixture.self.id }
        val first = if (assigned) emptyArray() else arrayOf(fixture.memberAssignedOverSelf())
        fixture.setMembers(batches, *first, *others.take(5).toTypedArray())
        advance(5_000)
        expectThat(fixture.lists).isEqualTo(listings)
        fixture.setMembers(batches, *first, *others.take(4).toTypedArray())
        advance(5_000)
        expectThat(fixture.lists).isEqualTo(listings + 1)
    }

    @ParameterizedTest(name = "a member {0}: searches {1}")
    @CsvSource("joins, false", "leaves, true", "restarts, true", "is evacuated, true", "becomes ready, false")
    fun `only the loss of a member is a reason to search`(
        change: String,
        searches: Boolean,
    ) = runTest(fixture.dispatcher) {
        val batches = fixture.batches(this)
        val others = List(3) { GatewayMember(NodeId("m$it"), 1, DataCentre("x"), "m$it:1", ready = it > 0) }
        fixture.setMembers(batches, *others.toTypedArray())
        advance(5_000)
        val before = fixture.lists
        val changed =
            when (change) {
                "joins" -> others + GatewayMember(NodeId("new"), 1, DataCentre("x"), "new:1", ready = true)
                "leaves" -> others.dropLast(1)
                "restarts" -> others.dropLast(1) + others.last().copy(incarnation = 2)
                "is evacuated" -> others.dropLast(1) + others.last().copy(ready = false)
                else -> listOf(others.first().copy(ready = true)) + others.drop(1)
            }
        fixture.setMembers(batches, *changed.toTypedArray())
        advance(5_000)
        expectThat(fixture.lists > before).isEqualTo(searches)
    }

    @Test
    fun `batches of an owner that is registered as not ready are adopted`() =
        runTest(fixture.dispatcher) {
            val batches = fixture.batches(this)
            fixture.setMembers(batches, formerOwner)
            fixture.storeBatch(owner = "former", incarnation = 1)
            fixture.peers.connect("former:1") { _, _ -> Alive(0) }
            fixture.setMembers(batches, formerOwner.copy(ready = false))
            advance(5_000)
            expectThat(adoptions()).hasSize(1)
        }

    @Test
    fun `an owner that responds without a registration is checked again until it fails`() =
        runTest(fixture.dispatcher) {
            val batches = fixture.batches(this)
            fixture.setMembers(batches, formerOwner)
            fixture.storeBatch(owner = "former", incarnation = 1)
            fixture.peers.connect("former:1") { _, _ -> Alive(1) }
            fixture.setMembers(batches)
            advance(5_000)
            expectThat(adoptions()).hasSize(0)
            // The owner fails. The members do not change, because it was not registered.
            fixture.peers.isolate("former:1")
            advance(5_000)
            expectThat(adoptions()).hasSize(1)
        }

    @ParameterizedTest(name = "the assigned process is ready: {0}")
    @CsvSource("true", "false")
    fun `a batch that the assigned process does not adopt is adopted by another`(ready: Boolean) =
        runTest(fixture.dispatcher) {
            val batches = fixture.batches(this)
            val assigned = fixture.memberAssignedOverSelf().copy(ready = ready)
            fixture.storeBatch(owner = "former", incarnation = 1)
            fixture.setMembers(batches, assigned)
            advance(1_000)
            // Batches are not assigned to a process that is not ready, so there is no grace period.
            expectThat(adoptions()).hasSize(if (ready) 0 else 1)
            advance(5_000)
            expectThat(adoptions()).hasSize(1)
        }

    @Test
    fun `a batch whose records cannot be read is adopted once they can`() =
        runTest(fixture.dispatcher) {
            fixture.storeBatch(owner = "former", incarnation = 1)
            val batches = fixture.batches(this)
            fixture.listsFail = true
            fixture.setMembers(batches)
            advance(5_000)
            expectThat(adoptions()).hasSize(0)
            fixture.listsFail = false
            advance(5_000)
            expectThat(adoptions()).hasSize(1)
        }

    @Test
    fun `a process that is not ready adopts nothing until it is`() =
        runTest(fixture.dispatcher) {
            fixture.storeBatch(owner = "former", incarnation = 1)
            fixture.self = fixture.self.copy(ready = false)
            val batches = fixture.batches(this)
            fixture.setMembers(batches)
            advance(5_000)
            expectThat(adoptions()).hasSize(0)
            fixture.self = fixture.self.copy(ready = true)
            advance(5_000)
            expectThat(adoptions()).hasSize(1)
        }

    private fun TestScope.advance(millis: Long) {
        advanceTimeBy(millis)
        runCurrent()
    }

    private fun adoptions() = fixture.journal.find("batch/").filter { it.decision == "adopted" }
}
