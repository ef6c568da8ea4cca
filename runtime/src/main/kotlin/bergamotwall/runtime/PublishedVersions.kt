package bergamotwall.runtime

import bergamotwall.model.ModelName
import bergamotwall.model.PublishedVersion
import bergamotwall.model.WeightVersion

/** Newest published version of each model, as far as this node has heard. Never goes back. */
public data class PublishedVersions(val byModel: Map<ModelName, WeightVersion> = emptyMap()) {
    /** Newest version of [model]; 0 if none was heard of. */
    public fun of(model: ModelName): WeightVersion = byModel[model] ?: WeightVersion(0)

    /** With what [heard] says, where it is newer. */
    public fun merge(heard: List<PublishedVersion>): PublishedVersions {
        val newer = heard.filter { it.version > of(it.model) }
        return if (newer.isEmpty()) this else PublishedVersions(byModel + newer.associate { it.model to it.version })
    }

    /** As a list, to spread. */
    public fun list(): List<PublishedVersion> = byModel.map { PublishedVersion(it.key, it.value) }
}
