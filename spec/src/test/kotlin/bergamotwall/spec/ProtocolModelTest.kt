package bergamotwall.spec

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Every assertion holds within its scope, and fails once the mechanism that carries it is taken out. */
internal class ProtocolModelTest {
    @ParameterizedTest(name = "{0}: {1} is possible")
    @CsvSource(
        "lease, Works",
        "configuration, Works",
        "handover, Works",
        "receipts, Works",
        "receipts, TakesOver",
        "service, Works",
        "batches, Works",
        "batches, TakesOver",
    )
    fun `the model can do its work`(
        model: String,
        command: String,
    ) {
        expectThat(AlloyModel.load(model).satisfiable(command)).isTrue()
    }

    @ParameterizedTest(name = "{2}: {0}/{1} holds, and breaks without the guard {3}")
    @CsvSource(
        "lease, OneHolderActs, orders to targets, margin",
        "lease, OrdersUnderLease, orders to targets, clock",
        "lease, NoOldOrderApplied, orders to targets, fencing",
        "configuration, NoLostUpdate, configuration, compare",
        "configuration, AppliedOnce, configuration, compare",
        "configuration, ConflictIsTrue, configuration, applied",
        "configuration, NeverReverts, configuration, higher",
        "handover, ExactlyOnce, exactly once, swap",
        "handover, OnlyCommitted, exactly once, committed",
        "handover, FreshAtCommit, staleness, published",
        "receipts, AtMostOnce, at most once, absent",
        "receipts, AtMostOnce, at most once, reserved",
        "receipts, AtMostOnce, at most once, holder",
        "receipts, NotRunIsTrue, not run is true, abandoned",
        "receipts, NotRunIsTrue, not run is true, unsent",
        "service, LabelIsTrue, labels, named",
        "service, OwnAnswer, own whole answer, own",
        "service, WholeAnswer, own whole answer, whole",
        "service, LeavingGetsNoWork, leaving targets, leaving",
        "service, StopCutsNothing, graceful stop, drained",
        "batches, ListedOnce, one position, fence",
        "batches, ListedOnce, one position, read",
        "batches, ListedOnce, one position, absent",
        "batches, RefusalIsTrue, not run is true, settled",
        "batches, AcceptedIsKept, accepted is kept, durable",
    )
    fun `assertions hold and are not vacuous`(
        model: String,
        assertion: String,
        promise: String,
        guard: String,
    ) {
        val whole = AlloyModel.load(model)
        expectThat(whole.satisfiable(assertion)).describedAs("counterexample to $promise").isFalse()
        expectThat(whole.without(guard).satisfiable(assertion)).describedAs("counterexample without $guard").isTrue()
    }
}
