package bergamotwall.model

import kotlinx.serialization.Serializable

/** Weight version of [model] that its trainer published. */
@Serializable
public data class PublishedVersion(val model: ModelName, val version: WeightVersion)
