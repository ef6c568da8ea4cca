package bergamotwall.model

import kotlinx.serialization.Serializable

/** Version [version] of the weights of [model], as its trainer published it. */
@Serializable
public data class PublishedVersion(val model: ModelName, val version: WeightVersion)
