package bergamotwall.decisions

import bergamotwall.model.TargetId
import bergamotwall.model.WeightVersion

/** An engine as the plan of loads sees it: the [version] of the model that it last stated. */
public data class EngineVersion(val id: TargetId, val version: WeightVersion)
