package bergamotwall.model

import kotlinx.serialization.Serializable

/**
 * Proposed change of the configuration in response to an operator's intent or drain request. It takes effect when it is
 * confirmed, which is possible only while the configuration is still at [baseRevision].
 */
@Serializable
public data class Plan(
    val id: PlanId,
    val baseRevision: ConfigurationRevision,
    val steps: List<PlanStep>,
    val observations: List<String>,
    val result: Configuration,
)

/** A change that a plan makes, and its effect. */
@Serializable
public data class PlanStep(val change: String, val effect: String)
