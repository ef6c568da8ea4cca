package bergamotwall.model

import kotlinx.serialization.Serializable

/** One finished sample. [versions] are those that the engine named in the pieces, in order of first appearance. */
@Serializable
public data class Sample(
    val id: SampleId,
    val group: Int,
    val versions: List<WeightVersion>,
    val text: String,
    val tokens: Int,
    val engines: List<TargetId>,
)

/** One group of samples that a trainer asks for: of [n] started, [enough] whole ones are handed over. */
@Serializable
public data class GroupSpec(val prompt: String, val n: Int, val enough: Int, val maxTokens: Int)

/** The order for one batch. The same order may be sent again until the batch is answered. */
@Serializable
public data class BatchOrder(val groups: List<GroupSpec>)

/** Entry of a committed manifest. */
@Serializable
public data class ManifestEntry(val id: SampleId, val versions: List<WeightVersion>, val stores: List<NodeId>)

/**
 * The committed content of batch [batch] of [trainer].
 *
 * [attempt] grows when samples had to be replaced before the trainer took the batch. Once [acknowledged], by the
 * order of a later batch, it never changes.
 */
@Serializable
public data class Manifest(
    val trainer: TrainerName,
    val batch: Long,
    val attempt: Int,
    val entries: List<ManifestEntry>,
    val orderHash: Long,
)

/** A batch as handed to the trainer. [published] is the version against which staleness was checked. */
@Serializable
public data class Batch(
    val trainer: TrainerName,
    val batch: Long,
    val attempt: Int,
    val published: WeightVersion,
    val samples: List<Sample>,
)
