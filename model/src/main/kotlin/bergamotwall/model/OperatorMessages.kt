package bergamotwall.model

import kotlinx.serialization.Serializable

/** Asks for a plan that drains, or with [undo] stops draining, [id]. */
@Serializable
public data class DrainRequest(val id: String, val reason: String = "", val undo: Boolean = false)

/** Answer to a confirmation. */
@Serializable
public data class Confirmed(val plan: PlanId, val revision: ConfigurationRevision, val alreadyApplied: Boolean)

/** The fleet as one controller sees it. */
@Serializable
public data class FleetStatus(
    val configuration: Configuration,
    val published: List<PublishedVersion>,
    val members: List<Member>,
    val vms: List<Vm>,
    val nodes: List<NodeStatus>,
)

/** Journal events of all reachable nodes about a subject, in order of time. */
@Serializable
public data class ExplainAnswer(val subject: String, val events: List<JournalEvent>, val unreachable: List<String>)
