package bergamotwall.model

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable

/**
 * A finished sample. [versions] are those that the engine named in the chunks, in order of first appearance. [score] is
 * what the trainer's rewarder returned; null if it has none, or before the sample is scored.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class Sample(
    val id: SampleId,
    val group: Int,
    val versions: List<WeightVersion>,
    val text: String,
    val tokens: Int,
    val engines: List<TargetId>,
    @EncodeDefault(EncodeDefault.Mode.NEVER) val score: String? = null,
)

/** Group of samples that a trainer requests: [n] are started, and the first [enough] that complete are delivered. */
@Serializable
public data class GroupSpec(val prompt: String, val n: Int, val enough: Int, val maxTokens: Int)

/** A trainer's order for one batch. The same order may be sent again until the response arrives. */
@Serializable
public data class BatchOrder(val groups: List<GroupSpec>)

/** Entry of a committed manifest. */
@Serializable
public data class ManifestEntry(val id: SampleId, val versions: List<WeightVersion>, val stores: List<NodeId>)

/**
 * The committed content of batch [batch] of [trainer].
 *
 * [attempt] grows when samples had to be replaced before the trainer received the batch. Once the trainer acknowledges
 * the batch, by ordering a later one, the manifest never changes.
 */
@Serializable
public data class Manifest(
    val trainer: TrainerName,
    val batch: Long,
    val attempt: Int,
    val entries: List<ManifestEntry>,
    val orderHash: Long,
)

/** A batch as delivered to the trainer. [published] is the version against which staleness was checked. */
@Serializable
public data class Batch(
    val trainer: TrainerName,
    val batch: Long,
    val attempt: Int,
    val published: WeightVersion,
    val samples: List<Sample>,
)
