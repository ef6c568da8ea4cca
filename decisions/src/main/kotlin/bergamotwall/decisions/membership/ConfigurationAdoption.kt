package bergamotwall.decisions.membership

import bergamotwall.model.AppliedPlan
import bergamotwall.model.Configuration
import bergamotwall.model.ConfigurationRevision
import bergamotwall.model.Drain
import bergamotwall.model.Intent
import bergamotwall.model.Plan
import bergamotwall.model.PlanId
import bergamotwall.model.PlanStep

private const val MAX_APPLIED_PLANS = 64

/** Returns [received] if its revision is higher than that of [current], otherwise [current]. */
public fun adopt(
    current: Configuration,
    received: Configuration,
): Configuration = if (received.revision > current.revision) received else current

/** Outcome of confirming a plan against the stored configuration. */
public sealed interface Confirmation {
    /** The plan took effect earlier, at [revision]: the response was lost or the plan was confirmed twice. */
    public data class AlreadyApplied(val revision: ConfigurationRevision) : Confirmation

    /** Write [next], provided that the stored configuration is still the one that was read. */
    public data class Write(val next: Configuration) : Confirmation

    /** The configuration has changed since the plan was made; [others] are the plans applied since then. */
    public data class Conflict(val current: ConfigurationRevision, val others: List<AppliedPlan>) : Confirmation
}

/** Decides the outcome of confirming [plan] while the stored configuration is [stored]. */
public fun confirm(
    stored: Configuration,
    plan: Plan,
): Confirmation {
    val earlier = stored.appliedPlans.find { it.plan == plan.id }
    return when {
        earlier != null -> Confirmation.AlreadyApplied(earlier.revision)
        stored.revision != plan.baseRevision ->
            Confirmation.Conflict(stored.revision, stored.appliedPlans.filter { it.revision > plan.baseRevision })
        else -> Confirmation.Write(plan.result)
    }
}

/** Plan that adds [intent] to [current], or replaces the intent of the same name. */
public fun planIntent(
    current: Configuration,
    intent: Intent,
    id: PlanId,
    observations: List<String>,
): Plan {
    val before = current.intents.find { it.name == intent.name }
    val intents = current.intents.filter { it.name != intent.name } + intent
    return planOf(current, id, differences(before, intent), observations, current.copy(intents = intents))
}

/** Plan that drains the node or target that [drain] names, or ends its drain if [undo] is set. */
public fun planDrain(
    current: Configuration,
    drain: Drain,
    undo: Boolean,
    id: PlanId,
    observations: List<String>,
): Plan {
    val others = current.drains.filter { it.id != drain.id }
    val drains = if (undo) others else others + drain
    val step =
        if (undo) {
            PlanStep("undrain ${drain.id}", "takes new work again")
        } else {
            PlanStep("drain ${drain.id}", "no new work; what runs there finishes")
        }
    return planOf(current, id, listOf(step), observations, current.copy(drains = drains))
}

private fun planOf(
    current: Configuration,
    id: PlanId,
    steps: List<PlanStep>,
    observations: List<String>,
    desired: Configuration,
): Plan {
    val revision = ConfigurationRevision(current.revision.value + 1)
    val summary = steps.joinToString("; ") { it.change }
    val applied = (current.appliedPlans + AppliedPlan(id, revision, summary)).takeLast(MAX_APPLIED_PLANS)
    return Plan(id, current.revision, steps, observations, desired.copy(revision = revision, appliedPlans = applied))
}

private fun differences(
    before: Intent?,
    after: Intent,
): List<PlanStep> {
    if (before == after) return listOf(PlanStep("no change", "the configuration stays as it is"))
    val old = before ?: Intent(after.name)
    return changes("model", old.models.associateBy { it.name.value }, after.models.associateBy { it.name.value }) +
        changes("service", old.services.associateBy { it.name.value }, after.services.associateBy { it.name.value }) +
        changes("caller", old.callers.associateBy { it.name.value }, after.callers.associateBy { it.name.value }) +
        changes("trainer", old.trainers.associateBy { it.name.value }, after.trainers.associateBy { it.name.value })
}

private fun <T> changes(
    kind: String,
    before: Map<String, T>,
    after: Map<String, T>,
): List<PlanStep> {
    val added = (after.keys - before.keys).map { PlanStep("add $kind $it", "served from this revision on") }
    val removed = (before.keys - after.keys).map { PlanStep("remove $kind $it", "new requests are refused") }
    val changed =
        (after.keys intersect before.keys)
            .filter { after[it] != before[it] }
            .map { PlanStep("change $kind $it", "in force for new requests within seconds") }
    return added + changed + removed
}
