package bergamotwall.decisions.batches

import bergamotwall.model.TargetId

/** The usual time between two events of a run at target [id], which has [free] of its [slots] free. */
public data class TargetPace(
    val id: TargetId,
    val eventMillis: Double,
    val free: Int,
    val slots: Int,
)
