package bergamotwall.controller

import bergamotwall.decisions.Confirmation
import bergamotwall.decisions.confirm
import bergamotwall.decisions.planDrain
import bergamotwall.decisions.planIntent
import bergamotwall.model.Configuration
import bergamotwall.model.Drain
import bergamotwall.model.Intent
import bergamotwall.model.Jsons
import bergamotwall.model.MemberState
import bergamotwall.model.Plan
import bergamotwall.model.Confirmed
import bergamotwall.model.DrainRequest
import bergamotwall.model.PlanId
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.RunState
import bergamotwall.model.VmRole
import bergamotwall.platform.Condition
import bergamotwall.platform.KeyValueEntry
import bergamotwall.platform.KeyValueError
import bergamotwall.platform.Transaction
import bergamotwall.platform.TransactionOutcome
import bergamotwall.platform.Write
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Node
import bergamotwall.runtime.SharedKeys
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import java.util.UUID

/** Makes plans and confirms them. Any controller can do either; plans live in the key-value service. */
internal class Plans(private val node: Node) {
    private class Stored(val configuration: Configuration, val modRevision: Long)

    suspend fun plan(intent: Intent): Result<Plan, Problem> = make { planIntent(it, intent, newId(), observations(intent)) }

    suspend fun plan(request: DrainRequest): Result<Plan, Problem> =
        make { current ->
            val drain = Drain(request.id, request.reason)
            planDrain(current, drain, request.undo, newId(), observations(request.id))
        }

    suspend fun confirm(id: PlanId): Result<Confirmed, Problem> {
        val stored = read().fold({ it }, { return Err(unavailable(it)) })
        val plan = readPlan(id).fold({ it }, { return Err(unavailable(it)) })
        val applied = stored.configuration.appliedPlans.find { it.plan == id }
        return when {
            applied != null -> Ok(Confirmed(id, applied.revision, alreadyApplied = true))
            plan == null -> Err(Problem(ProblemKind.NOT_FOUND, "plan ${id.value}: none, or it has lapsed; plan again"))
            else -> confirm(plan, stored)
        }
    }

    private suspend fun confirm(
        plan: Plan,
        stored: Stored,
    ): Result<Confirmed, Problem> =
        when (val decision = confirm(stored.configuration, plan)) {
            is Confirmation.AlreadyApplied -> Ok(Confirmed(plan.id, decision.revision, alreadyApplied = true))
            is Confirmation.Conflict -> Err(conflict(decision))
            is Confirmation.Write -> write(plan, decision.next, stored.modRevision)
        }

    private suspend fun write(
        plan: Plan,
        next: Configuration,
        modRevision: Long,
    ): Result<Confirmed, Problem> {
        val value = Jsons.wire.encodeToString(Configuration.serializer(), next)
        val condition = Condition.Unchanged(SharedKeys.CONFIGURATION, modRevision)
        val transaction = Transaction(listOf(condition), listOf(Write.Put(SharedKeys.CONFIGURATION, value)))
        return node.store.commit(transaction).fold(
            success = { outcome ->
                if (outcome is TransactionOutcome.Committed) Ok(applied(plan, next)) else resolve(plan, null)
            },
            failure = { resolve(plan, it) },
        )
    }

    /** The write was declined or its answer lost: the applied plans tell which. */
    private suspend fun resolve(
        plan: Plan,
        error: KeyValueError?,
    ): Result<Confirmed, Problem> {
        val stored = read().fold({ it }, { return Err(unavailable(error ?: it)) })
        return when (val decision = confirm(stored.configuration, plan)) {
            is Confirmation.AlreadyApplied -> Ok(applied(plan, stored.configuration))
            is Confirmation.Conflict -> Err(conflict(decision))
            is Confirmation.Write -> Err(unavailable(error ?: KeyValueError.Rejected("the write was declined")))
        }
    }

    private fun applied(
        plan: Plan,
        next: Configuration,
    ): Confirmed {
        node.keeper.offer(next, "plan ${plan.id.value} confirmed here")
        val summary = plan.steps.joinToString("; ") { it.change }
        val subject = "revision/${plan.result.revision.value}"
        node.journal.record(Decision(subject, "confirmed", "compare-and-swap", "plan ${plan.id.value}", summary))
        return Confirmed(plan.id, plan.result.revision, alreadyApplied = false)
    }

    private suspend fun make(planner: (Configuration) -> Plan): Result<Plan, Problem> {
        val stored = read().fold({ it }, { return Err(unavailable(it)) })
        val plan = planner(stored.configuration)
        val value = Jsons.wire.encodeToString(Plan.serializer(), plan)
        val lease = node.store.grantLease(PLAN_SECONDS).fold({ it }, { return Err(unavailable(it)) })
        val put = Transaction(emptyList(), listOf(Write.Put(SharedKeys.plan(plan.id), value, lease)))
        return node.store.commit(put).fold({ Ok(plan) }, { Err(unavailable(it)) })
    }

    private suspend fun read(): Result<Stored, KeyValueError> =
        node.store.get(SharedKeys.CONFIGURATION).fold({ Ok(stored(it)) }, { Err(it) })

    private fun stored(entry: KeyValueEntry?): Stored {
        val configuration = entry?.let { Jsons.wire.decodeFromString(Configuration.serializer(), it.value) }
        return Stored(configuration ?: Configuration(), entry?.modRevision ?: 0)
    }

    private suspend fun readPlan(id: PlanId): Result<Plan?, KeyValueError> =
        node.store
            .get(SharedKeys.plan(id))
            .fold({ Ok(it?.let { found -> Jsons.wire.decodeFromString(Plan.serializer(), found.value) }) }, { Err(it) })

    private fun observations(intent: Intent): List<String> {
        val vms = node.board.vmList.read().vms
        val models = intent.models.map { m -> "model ${m.name.value}: ${vms.count { it.serves == m.name.value }} replicas" }
        val services = intent.services.map { s -> "service ${s.name.value}: ${vms.count { it.serves == s.name.value }} instances" }
        return models + services + membersSeen()
    }

    private fun observations(id: String): List<String> {
        val vm = node.board.vmList.read().vms.find { it.id == id }
        val member = node.board.members.read().find { it.id.value == id }
        val left = node.board.vmList.read().vms.count { it.serves == vm?.serves && it.id != id && !it.leaving }
        val seen =
            when {
                vm != null && vm.role != VmRole.NODE -> "$id is a target of ${vm.serves}; $left others serve it"
                member != null -> "$id is a member, ${member.state}"
                else -> "$id is not known: the drain takes effect if it appears"
            }
        return listOf(seen) + membersSeen()
    }

    private fun membersSeen(): String {
        val members = node.board.members.read()
        return "members: ${members.count { it.state <= MemberState.LEAVING }} of ${members.size} answer"
    }

    private fun conflict(conflict: Confirmation.Conflict): Problem {
        val others = conflict.others.joinToString("; ") { "revision ${it.revision.value}: ${it.summary}" }
        return Problem(ProblemKind.CONFLICT, "another change came first ($others): plan again on revision ${conflict.current.value}")
    }

    private fun unavailable(error: KeyValueError): Problem {
        val unknown = error is KeyValueError.Unavailable && error.mayHaveApplied
        val runState = if (unknown) RunState.UNKNOWN else RunState.NOT_RUN
        return Problem(ProblemKind.UNAVAILABLE, "confirm again; the same plan is applied once: ${error.detail}", runState, RETRY_MILLIS)
    }

    private fun newId(): PlanId = PlanId(UUID.randomUUID().toString())

    private companion object {
        private const val PLAN_SECONDS = 3_600L
        private const val RETRY_MILLIS = 1_000L
    }
}
