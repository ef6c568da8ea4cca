package bergamotwall.decisions

import bergamotwall.model.AppliedPlan
import bergamotwall.model.Configuration
import bergamotwall.model.ConfigurationRevision
import bergamotwall.model.Drain
import bergamotwall.model.Intent
import bergamotwall.model.Plan
import bergamotwall.model.PlanId
import bergamotwall.model.PlanStep

private const val APPLIED_PLANS_KEPT = 64

/** The configuration to hold after [offered] was heard: never a lower revision than [current]. */
public fun adopt(
    current: Configuration,
    offered: Configuration,
): Configuration = if (offered.revision > current.revision) offered else current

/** Outcome of confirming a plan against the configuration as read. */
public sealed interface Confirmation {
    /** The plan took effect earlier, at [revision]: its answer was lost or it was confirmed twice. */
    public data class AlreadyApplied(val revision: ConfigurationRevision) : Confirmation

    /** Write [next], if the stored configuration is still the one that was read. */
    public data class Write(val next: Configuration) : Confirmation

    /** Another change came first; [others] are those since the plan was made. */
    public data class Conflict(val current: ConfigurationRevision, val others: List<AppliedPlan>) : Confirmation
}

/** Decides what confirming [plan] means while the stored configuration is [stored]. */
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

/** Plan that puts [intent] in place of the one of the same name in [current]. */
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

/** Plan that drains, or with [undo] stops draining, the node or target [drain] names. */
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
    wanted: Configuration,
): Plan {
    val revision = ConfigurationRevision(current.revision.value + 1)
    val summary = steps.joinToString("; ") { it.change }
    val applied = (current.appliedPlans + AppliedPlan(id, revision, summary)).takeLast(APPLIED_PLANS_KEPT)
    return Plan(id, current.revision, steps, observations, wanted.copy(revision = revision, appliedPlans = applied))
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
