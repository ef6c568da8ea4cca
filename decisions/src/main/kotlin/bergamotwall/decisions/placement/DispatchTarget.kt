package bergamotwall.decisions.placement

import bergamotwall.model.DataCentre
import bergamotwall.model.TargetId

/** A target as listed in the fleet view. [stopping]: marked as leaving in the VM list, or drained by an operator. */
public data class DispatchTarget(
    val id: TargetId,
    val address: String,
    val dataCentre: DataCentre,
    val stopping: Boolean,
)
