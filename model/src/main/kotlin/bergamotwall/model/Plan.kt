package bergamotwall.model

import kotlinx.serialization.Serializable

/**
 * The answer to a stated intent. Changes nothing until it is confirmed, and can be confirmed only while the
 * configuration is still at [baseRevision].
 */
@Serializable
public data class Plan(
    val id: PlanId,
    val baseRevision: ConfigurationRevision,
    val steps: List<PlanStep>,
    val observations: List<String>,
    val result: Configuration,
)

/** One change that a plan makes, and what follows from it. */
@Serializable
public data class PlanStep(val change: String, val effect: String)
