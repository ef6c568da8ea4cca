package bergamotwall.model

import kotlinx.serialization.Serializable

/** What an operator wants of the fleet. Applied as a whole, under its [name]. */
@Serializable
public data class Intent(
    val name: String,
    val models: List<ModelIntent> = emptyList(),
    val services: List<ServiceIntent> = emptyList(),
    val callers: List<CallerIntent> = emptyList(),
    val trainers: List<TrainerIntent> = emptyList(),
)

/**
 * How one model is served.
 *
 * [stalenessWeightPercent] is the weight of staleness against trainer idle time: 100 swaps weights as fast as
 * [availabilityFloorPercent] allows, 0 waits for replicas to become free.
 * [maxConcurrentLoads] is the number of replicas that the weight store serves at once.
 * [checksFencing] says whether its engines refuse an order with an old fencing number.
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

/** How one plain service is served. Requests to [repeatablePaths] are idempotent; all other writes are not. */
@Serializable
public data class ServiceIntent(
    val name: ServiceName,
    val repeatablePaths: List<String> = emptyList(),
    val checksFencing: Boolean = false,
)

/** A caller, known by its bearer [key], and the highest class that it may ask for. */
@Serializable
public data class CallerIntent(
    val name: CallerName,
    val key: String,
    val priorityClass: PriorityClass = PriorityClass.APPLICATION,
)

/**
 * A trainer, known by its bearer [key].
 *
 * No sample older than [stalenessBoundVersions] versions behind the published one is handed to it.
 * [shareWeight] is its part of the engines relative to other trainers.
 */
@Serializable
public data class TrainerIntent(
    val name: TrainerName,
    val key: String,
    val model: ModelName,
    val stalenessBoundVersions: Int,
    val shareWeight: Int = 1,
)
