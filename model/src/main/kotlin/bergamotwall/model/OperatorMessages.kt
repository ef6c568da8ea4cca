package bergamotwall.model

import kotlinx.serialization.Serializable

/** Requests a plan that drains the node or target [id], or stops draining it if [undo] is set. */
@Serializable
public data class DrainRequest(val id: String, val reason: String = "", val undo: Boolean = false)

/** Response to the confirmation of a plan. */
@Serializable
public data class Confirmed(val plan: PlanId, val revision: ConfigurationRevision, val alreadyApplied: Boolean)

/** State of the fleet as one controller sees it. */
@Serializable
public data class FleetStatus(
    val configuration: Configuration,
    val published: List<PublishedVersion>,
    val members: List<Member>,
    val vms: List<Vm>,
    val nodes: List<NodeStatus>,
)

/** Journal events of all reachable nodes about a subject, ordered by time; [unreachable] names the other nodes. */
@Serializable
public data class ExplainResponse(val subject: String, val events: List<JournalEvent>, val unreachable: List<String>)
