package bergamotwall.runtime

import bergamotwall.model.ModelName
import bergamotwall.model.PublishedVersion
import bergamotwall.model.WeightVersion

/** Newest published weight version of each model that this process knows of. Versions never decrease. */
public data class PublishedVersions(val byModel: Map<ModelName, WeightVersion> = emptyMap()) {
    /** Newest version of [model]; 0 if none is known. */
    public fun of(model: ModelName): WeightVersion = byModel[model] ?: WeightVersion(0)

    /** Copy that includes those of the [received] versions that are newer than the known ones. */
    public fun merge(received: List<PublishedVersion>): PublishedVersions {
        val newer = received.filter { it.version > of(it.model) }
        return if (newer.isEmpty()) this else PublishedVersions(byModel + newer.associate { it.model to it.version })
    }

    /** All versions, as sent to peers. */
    public fun list(): List<PublishedVersion> = byModel.map { PublishedVersion(it.key, it.value) }
}
