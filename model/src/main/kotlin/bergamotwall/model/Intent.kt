package bergamotwall.model

import kotlinx.serialization.Serializable

/** Desired state of the fleet, as stated by an operator. Applied as a unit, under its [name]. */
@Serializable
public data class Intent(
    val name: String,
    val models: List<ModelIntent> = emptyList(),
    val services: List<ServiceIntent> = emptyList(),
    val callers: List<CallerIntent> = emptyList(),
    val trainers: List<TrainerIntent> = emptyList(),
)

/**
 * Desired state of one model.
 *
 * Requests of callers run only on replicas that are at most [allowedVersionsBehind] versions behind the published one.
 * [stalenessWeightPercent] weighs staleness against trainer idle time: 100 swaps weights as fast as
 * [availabilityFloorPercent] allows, 0 waits for replicas to become idle.
 * [maxConcurrentLoads] limits how many replicas load weights from the weight store at the same time.
 * [checksFencing] states whether the engines reject orders with an outdated fencing token.
 */
@Serializable
public data class ModelIntent(
    val name: ModelName,
    val allowedVersionsBehind: Int = 8,
    val availabilityFloorPercent: Int = 50,
    val stalenessWeightPercent: Int = 50,
    val maxConcurrentLoads: Int = 16,
    val checksFencing: Boolean = false,
)

/** Desired state of one plain service. Requests to [repeatablePaths] are idempotent; all other writes are not. */
@Serializable
public data class ServiceIntent(
    val name: ServiceName,
    val repeatablePaths: List<String> = emptyList(),
    val checksFencing: Boolean = false,
)

/** A caller, authenticated by its bearer [key], and the highest priority class that it may request. */
@Serializable
public data class CallerIntent(
    val name: CallerName,
    val key: String,
    val priorityClass: PriorityClass = PriorityClass.APPLICATION,
)

/**
 * A trainer, authenticated by its bearer [key].
 *
 * It gets no sample that is more than [stalenessBoundVersions] versions behind the published one.
 * [shareWeight] is its share of the engines relative to other trainers. With a [rewarder], it gets only samples that
 * were scored.
 */
@Serializable
public data class TrainerIntent(
    val name: TrainerName,
    val key: String,
    val model: ModelName,
    val stalenessBoundVersions: Int,
    val shareWeight: Int = 1,
    val rewarder: RewarderIntent? = null,
)
