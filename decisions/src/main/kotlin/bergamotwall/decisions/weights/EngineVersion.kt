package bergamotwall.decisions.weights

import bergamotwall.model.TargetId
import bergamotwall.model.WeightVersion

/** An engine as [planLoads] sees it, with the [version] of the model that it last reported. */
public data class EngineVersion(val id: TargetId, val version: WeightVersion)
