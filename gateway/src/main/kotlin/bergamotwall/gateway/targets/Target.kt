package bergamotwall.gateway.targets

import bergamotwall.model.DataCentre
import bergamotwall.model.ModelName
import bergamotwall.model.ServiceName
import bergamotwall.model.SoftwareVersion
import bergamotwall.model.TargetId
import bergamotwall.model.WeightVersion

/**
 * A target as registered by itself. [startedAtMillis] is its start time, which distinguishes its incarnations; null if
 * not reported. [softwareVersion] is null if not reported. [spot]: the platform may reclaim it; [leavesInMillis] is
 * the time that was left when it registered as leaving.
 */
public data class Target(
    val id: TargetId,
    val service: ServiceName,
    val address: String,
    val dataCentre: DataCentre,
    val slots: Int,
    val draining: Boolean,
    val versions: Map<ModelName, WeightVersion> = emptyMap(),
    val startedAtMillis: Long? = null,
    val softwareVersion: SoftwareVersion? = null,
    val spot: Boolean = false,
    val leavesInMillis: Long? = null,
)
