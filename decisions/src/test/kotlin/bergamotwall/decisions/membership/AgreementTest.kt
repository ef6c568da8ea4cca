package bergamotwall.decisions.membership

import bergamotwall.decisions.batches.decideReceipt
import bergamotwall.decisions.duties.LeaseHolding
import bergamotwall.model.Configuration
import bergamotwall.model.ConfigurationRevision
import bergamotwall.model.Drain
import bergamotwall.model.FencingNumber
import bergamotwall.model.Fingerprint
import bergamotwall.model.Intent
import bergamotwall.model.NodeId
import bergamotwall.model.PlanId
import bergamotwall.model.Receipt
import bergamotwall.model.ReceiptPhase
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.map

/** Rules on which processes have to agree: leases, configuration and receipts. */
internal class AgreementTest {
    @ParameterizedTest(name = "at {0} ms, lease of 4000 ms from 1000 ms, margin 1000 ms: may act {1}, renewal due {2}")
    @CsvSource("1000, true, false", "2332, true, false", "2334, true, true", "3999, true, true", "4000, false, true")
    fun `a holder stops acting before the lease expires at the service`(
        nowMillis: Long,
        mayAct: Boolean,
        renewalDue: Boolean,
    ) {
        val holding = LeaseHolding(FencingNumber(1), 1_000, 4_000, 1_000)
        expectThat(holding.mayAct(nowMillis)).isEqualTo(mayAct)
        expectThat(holding.renewalDue(nowMillis)).isEqualTo(renewalDue)
    }

    @ParameterizedTest(name = "current {0}, received {1}: current {2}")
    @CsvSource("3, 4, 4", "4, 3, 4", "4, 4, 4", "0, 9, 9")
    fun `a node never adopts a lower revision`(
        current: Long,
        received: Long,
        after: Long,
    ) {
        val next = adopt(Configuration(ConfigurationRevision(current)), Configuration(ConfigurationRevision(received)))
        expectThat(next.revision.value).isEqualTo(after)
    }

    @Test
    fun `the second of two concurrent plans gets a conflict that lists the first, a repeat changes nothing`() {
        val base = Configuration()
        val first = planIntent(base, Intent("a"), PlanId("p1"), emptyList())
        val second = planDrain(base, Drain("x", ""), undo = false, PlanId("p2"), emptyList())
        val stored = (confirm(base, first) as Confirmation.Write).next
        expectThat(
            confirm(stored, second)
        ).isA<Confirmation.Conflict>().get { others }.map { it.plan.value }.isEqualTo(listOf("p1"))
        expectThat(confirm(stored, first)).isA<Confirmation.AlreadyApplied>()
        expectThat(stored.revision.value).isEqualTo(1)
    }

    @ParameterizedTest(name = "{0} nonce {1} content {2}: {3}")
    @CsvSource(
        "RESERVED, mine, 1, Dispatch",
        "RESERVED, other, 1, QueryHolder",
        "ABANDONED, other, 1, TakeOver",
        "DONE, other, 1, Replay",
        "DONE, mine, 1, Replay",
        "UNKNOWN, other, 1, OutcomeUnknown",
        "DONE, other, 2, KeyReused",
        "RESERVED, other, 2, KeyReused",
    )
    fun `a request is dispatched only under its own reservation`(
        phase: ReceiptPhase,
        nonce: String,
        content: Long,
        expected: String,
    ) {
        val existing = Receipt(phase, nonce, NodeId("n"), Fingerprint(content))
        expectThat(decideReceipt(existing, Fingerprint(1), "mine")::class.simpleName).isEqualTo(expected)
    }
}
