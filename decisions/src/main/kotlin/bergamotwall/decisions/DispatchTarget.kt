package bergamotwall.decisions

import bergamotwall.model.DataCentre
import bergamotwall.model.TargetId

/** A target as the fleet view names it. [stopping]: leaving by the VM list or drained by an operator. */
public data class DispatchTarget(
    val id: TargetId,
    val address: String,
    val dataCentre: DataCentre,
    val stopping: Boolean,
)
