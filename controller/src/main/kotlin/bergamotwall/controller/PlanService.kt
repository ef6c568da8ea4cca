package bergamotwall.controller

import bergamotwall.decisions.membership.Confirmation
import bergamotwall.decisions.membership.confirm
import bergamotwall.decisions.membership.planDrain
import bergamotwall.decisions.membership.planIntent
import bergamotwall.drivers.KeyValueError
import bergamotwall.model.Configuration
import bergamotwall.model.Confirmed
import bergamotwall.model.Drain
import bergamotwall.model.DrainRequest
import bergamotwall.model.Intent
import bergamotwall.model.Plan
import bergamotwall.model.PlanId
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.RunState
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Node
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.mapError
import java.util.UUID

/** Creates and confirms plans. Any controller can do either, as plans are stored in the key-value service. */
internal class PlanService(private val node: Node) {
    private val store = PlanStore(node.store)
    private val observations = PlanObservations(node.fleetState)

    suspend fun plan(intent: Intent): Result<Plan, Problem> =
        createPlan { planIntent(it, intent, newId(), observations.of(intent)) }

    suspend fun plan(request: DrainRequest): Result<Plan, Problem> =
        createPlan { current ->
            val drain = Drain(request.id, request.reason)
            planDrain(current, drain, request.undo, newId(), observations.ofDrain(request.id))
        }

    suspend fun confirm(id: PlanId): Result<Confirmed, Problem> =
        store.configuration().mapError(::unavailable).flatMap { stored ->
            val applied = stored.configuration.appliedPlans.find { it.plan == id }
            if (applied != null) Ok(Confirmed(id, applied.revision, alreadyApplied = true)) else confirm(id, stored)
        }

    private suspend fun confirm(
        id: PlanId,
        stored: StoredConfiguration,
    ): Result<Confirmed, Problem> =
        store.plan(id).mapError(::unavailable).flatMap { plan ->
            if (plan == null) Err(planNotFound(id)) else confirm(plan, stored)
        }

    private suspend fun confirm(
        plan: Plan,
        stored: StoredConfiguration,
    ): Result<Confirmed, Problem> =
        when (val decision = confirm(stored.configuration, plan)) {
            is Confirmation.AlreadyApplied -> Ok(Confirmed(plan.id, decision.revision, alreadyApplied = true))
            is Confirmation.Conflict -> Err(conflict(decision))
            is Confirmation.Write ->
                store.compareAndSwap(decision.next, stored.modRevision).fold(
                    success = { written ->
                        if (written) Ok(recordApplied(plan, decision.next)) else resolveWrite(plan, declined)
                    },
                    failure = { resolveWrite(plan, it) },
                )
        }

    /** Determines from the applied plans whether a write took effect that was declined or whose response was lost. */
    private suspend fun resolveWrite(
        plan: Plan,
        error: KeyValueError,
    ): Result<Confirmed, Problem> =
        store.configuration().mapError { unavailable(error) }.flatMap { stored ->
            when (val decision = confirm(stored.configuration, plan)) {
                is Confirmation.AlreadyApplied -> Ok(recordApplied(plan, stored.configuration))
                is Confirmation.Conflict -> Err(conflict(decision))
                is Confirmation.Write -> Err(unavailable(error))
            }
        }

    private fun recordApplied(
        plan: Plan,
        configuration: Configuration,
    ): Confirmed {
        node.replicator.adoptIfNewer(configuration, "plan ${plan.id.value} confirmed here")
        val summary = plan.steps.joinToString("; ") { it.change }
        val subject = "revision/${plan.result.revision.value}"
        node.journal.record(Decision(subject, "confirmed", "compare-and-swap", "plan ${plan.id.value}", summary))
        return Confirmed(plan.id, plan.result.revision, alreadyApplied = false)
    }

    private suspend fun createPlan(planner: (Configuration) -> Plan): Result<Plan, Problem> =
        store.configuration().flatMap { store.save(planner(it.configuration)) }.mapError(::unavailable)

    private fun newId(): PlanId = PlanId(UUID.randomUUID().toString())

    private companion object {
        private val declined = KeyValueError.Rejected("the write was declined")
    }
}

private const val RETRY_MILLIS = 1_000L

private fun planNotFound(id: PlanId): Problem =
    Problem(ProblemKind.NOT_FOUND, "plan ${id.value}: unknown or expired; plan again")

private fun conflict(conflict: Confirmation.Conflict): Problem {
    val others = conflict.others.joinToString("; ") { "revision ${it.revision.value}: ${it.summary}" }
    val fix = "plan again on revision ${conflict.current.value}"
    return Problem(ProblemKind.CONFLICT, "another change was confirmed first ($others): $fix")
}

private fun unavailable(error: KeyValueError): Problem {
    val unknown = error is KeyValueError.Unavailable && error.mayHaveApplied
    val runState = if (unknown) RunState.UNKNOWN else RunState.NOT_RUN
    val detail = "try again, a plan is applied only once: ${error.detail}"
    return Problem(ProblemKind.UNAVAILABLE, detail, runState, RETRY_MILLIS)
}
