package bergamotwall.gateway.batches

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
internal class OrphansTest {
    private val fixture = BatchFixture()
    private val other = GatewayMember(NodeId("gone"), 1, DataCentre("x"), "gone:1", ready = true)

    @AfterEach
    fun close(): Unit = fixture.close()

    @Test
    fun `two changes at once take a batch over once`() =
        runTest(fixture.dispatcher) {
            fixture.own(owner = "gone", incarnation = 1)
            val batches = fixture.batches(this)
            launch { batches.membersChanged() }
            launch { batches.membersChanged() }
            pass(100)
            expectThat(adoptions()).hasSize(1)
        }

    @ParameterizedTest(name = "owner {0} in incarnation {1}, registered {2}, answers {3}, ended {4}: adopted {5}")
    @CsvSource(
        "gone, 1, false, false, false, true",
        // It lives, though its registration lapsed.
        "gone, 1, false, true, false, false",
        "gone, 1, true, false, false, false",
        "gone, 1, false, false, true, false",
        // This process before its restart.
        "self, 1, false, false, false, true",
    )
    @Suppress("LongParameterList") // one parameter a column of the table
    fun `a batch is an orphan if its owner neither is registered nor answers`(
        owner: String,
        incarnation: Long,
        registered: Boolean,
        answers: Boolean,
        ended: Boolean,
        adopted: Boolean,
    ) = runTest(fixture.dispatcher) {
        val batches = fixture.batches(this)
        fixture.know(batches, other)
        if (answers) fixture.peers.connect("gone:1") { _, _ -> Alive(1) }
        fixture.own(owner, incarnation, ended)
        if (!registered) fixture.know(batches)
        pass(10_000)
        expectThat(adoptions().size).isEqualTo(if (adopted) 1 else 0)
        val found = checkNotNull(BatchStore(fixture.memory).ownership(fixture.id).get()).ownership
        expectThat(found.owner.value).isEqualTo(if (adopted) "self" else owner)
    }

    @Test
    fun `an owner that is registered as not ready has given its batches up`() =
        runTest(fixture.dispatcher) {
            val batches = fixture.batches(this)
            fixture.know(batches, other)
            fixture.own(owner = "gone", incarnation = 1)
            fixture.peers.connect("gone:1") { _, _ -> Alive(0) }
            fixture.know(batches, other.copy(ready = false))
            pass(5_000)
            expectThat(adoptions()).hasSize(1)
        }

    @Test
    fun `an owner that answered without a registration is asked again until it is gone`() =
        runTest(fixture.dispatcher) {
            val batches = fixture.batches(this)
            fixture.know(batches, other)
            fixture.own(owner = "gone", incarnation = 1)
            fixture.peers.connect("gone:1") { _, _ -> Alive(1) }
            fixture.know(batches)
            pass(5_000)
            expectThat(adoptions()).hasSize(0)
            // It ends: no change of the members will tell, as it was not registered.
            fixture.peers.cut("gone:1")
            pass(5_000)
            expectThat(adoptions()).hasSize(1)
        }

    @ParameterizedTest(name = "the survivor elected is ready: {0}")
    @CsvSource("true", "false")
    fun `a batch that the survivor elected does not take falls to the others`(ready: Boolean) =
        runTest(fixture.dispatcher) {
            val batches = fixture.batches(this)
            val elected = fixture.electedOverSelf().copy(ready = ready)
            fixture.own(owner = "gone", incarnation = 1)
            fixture.know(batches, elected)
            pass(1_000)
            // One that is not ready is not waited for.
            expectThat(adoptions()).hasSize(if (ready) 0 else 1)
            pass(5_000)
            expectThat(adoptions()).hasSize(1)
        }

    @Test
    fun `a batch whose records can't be read is taken once they can`() =
        runTest(fixture.dispatcher) {
            fixture.own(owner = "gone", incarnation = 1)
            val batches = fixture.batches(this)
            fixture.listsFail = true
            fixture.know(batches)
            pass(5_000)
            expectThat(adoptions()).hasSize(0)
            fixture.listsFail = false
            pass(5_000)
            expectThat(adoptions()).hasSize(1)
        }

    @Test
    fun `a process that is not ready takes nothing until it is`() =
        runTest(fixture.dispatcher) {
            fixture.own(owner = "gone", incarnation = 1)
            fixture.self = fixture.self.copy(ready = false)
            val batches = fixture.batches(this)
            fixture.know(batches)
            pass(5_000)
            expectThat(adoptions()).hasSize(0)
            fixture.self = fixture.self.copy(ready = true)
            pass(5_000)
            expectThat(adoptions()).hasSize(1)
        }

    private fun TestScope.pass(millis: Long) {
        advanceTimeBy(millis)
        runCurrent()
    }

    private fun adoptions() = fixture.journal.find("batch/").filter { it.decision == "adopted" }
}
