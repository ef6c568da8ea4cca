package bergamotwall.spec

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Checks that every assertion of the protocol models holds within its scope, and fails if its guard is removed. */
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
    fun `the model reaches its intended states`(
        model: String,
        command: String,
    ) {
        expectThat(AlloyModel.load(model).satisfiable(command)).isTrue()
    }

    @ParameterizedTest(name = "{2}: {0}/{1} holds, and fails without the guard {3}")
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
        "receipts, NotRunIsTrue, reported as not run only if not run, abandoned",
        "receipts, NotRunIsTrue, reported as not run only if not run, unsent",
        "service, LabelIsTrue, labels, named",
        "service, OwnAnswer, own complete response, own",
        "service, WholeAnswer, own complete response, whole",
        "service, LeavingGetsNoWork, leaving targets, leaving",
        "service, StopCutsNothing, graceful stop, drained",
        "batches, ListedOnce, an item is listed once, fence",
        "batches, ListedOnce, an item is listed once, read",
        "batches, ListedOnce, an item is listed once, absent",
        "batches, RefusalIsTrue, reported as not run only if not run, settled",
        "batches, AcceptedIsKept, an accepted batch is stored, durable",
        "batches, LossIsNoticed, the loss of an owner is noticed, registered",
        "batches, LossIsNoticed, the loss of an owner is noticed, adopter",
        "batches, OneOwner, a batch has one owner, owner",
    )
    fun `assertions hold, and fail without their guard`(
        name: String,
        assertion: String,
        guarantee: String,
        guard: String,
    ) {
        val model = AlloyModel.load(name)
        expectThat(model.satisfiable(assertion)).describedAs("counterexample to $guarantee").isFalse()
        expectThat(model.without(guard).satisfiable(assertion)).describedAs("counterexample without $guard").isTrue()
    }
}
