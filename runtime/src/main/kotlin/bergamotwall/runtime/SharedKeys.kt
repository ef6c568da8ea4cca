package bergamotwall.runtime

import bergamotwall.model.ModelName
import bergamotwall.model.PlanId
import bergamotwall.model.TrainerName

/** Keys of the fleet's entries in the key-value service. */
public object SharedKeys {
    /** Prefix of the keys that relays watch. */
    public const val WATCHED: String = "bergamotwall/shared/"

    /** The configuration. */
    public const val CONFIGURATION: String = "${WATCHED}configuration"

    /** Prefix of published versions. */
    public const val PUBLISHED: String = "${WATCHED}published/"

    /** Newest published version of [model]. */
    public fun published(model: ModelName): String = PUBLISHED + model.value

    /** Newest manifest of [trainer]. */
    public fun manifest(trainer: TrainerName): String = "bergamotwall/manifests/${trainer.value}"

    /** Plan [id], stored under a lease, so that it expires. */
    public fun plan(id: PlanId): String = "bergamotwall/plans/${id.value}"

    /** Lease of the leadership [name]. */
    public fun leadership(name: String): String = "bergamotwall/duties/$name"

    /** Receipt of the idempotency key whose hash is [hash]. */
    public fun receipt(hash: String): String = "bergamotwall/receipts/$hash"
}
