package bergamotwall.model

import kotlinx.serialization.Serializable

/**
 * The operators' confirmed configuration.
 *
 * [appliedPlans] holds the latest confirmed plans, newest last, so that a writer whose response was lost can determine
 * whether its write took effect.
 */
@Serializable
public data class Configuration(
    val revision: ConfigurationRevision = ConfigurationRevision(0),
    val intents: List<Intent> = emptyList(),
    val drains: List<Drain> = emptyList(),
    val appliedPlans: List<AppliedPlan> = emptyList(),
) {
    /** Intent for [model], or null if none names it. */
    public fun model(
        model: ModelName
    ): ModelIntent? = intents.firstNotNullOfOrNull { i -> i.models.find { it.name == model } }

    /** Intent for [service], or null if none names it. */
    public fun service(service: ServiceName): ServiceIntent? =
        intents.firstNotNullOfOrNull { i -> i.services.find { it.name == service } }

    /** Caller that authenticates with the bearer [key], or null. */
    public fun caller(
        key: String
    ): CallerIntent? = intents.firstNotNullOfOrNull { i -> i.callers.find { it.key == key } }

    /** Trainer that authenticates with the bearer [key], or null. */
    public fun trainer(
        key: String
    ): TrainerIntent? = intents.firstNotNullOfOrNull { i -> i.trainers.find { it.key == key } }

    /** Whether the node or target [id] is being drained. */
    public fun drains(id: String): Boolean = drains.any { it.id == id }
}

/** Order to drain the node or target [id]: it gets no new work, and running requests finish. */
@Serializable
public data class Drain(val id: String, val reason: String)

/** A confirmed plan and the [revision] that it produced. */
@Serializable
public data class AppliedPlan(val plan: PlanId, val revision: ConfigurationRevision, val summary: String)
