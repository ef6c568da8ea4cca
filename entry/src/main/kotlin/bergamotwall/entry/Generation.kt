package bergamotwall.entry

import bergamotwall.model.CallerName
import bergamotwall.model.PriorityClass
import bergamotwall.model.RequestId
import bergamotwall.model.TargetId
import bergamotwall.model.WeightVersion

/**
 * One generation to run. Dispatch is fair between flows; within [flow], the request with the lowest [sequence] goes
 * first. [fromBatch]: it is an item of a trainer's batch. [minVersion] returns the oldest weight version
 * that may generate it at that moment.
 */
internal data class GenerationRequest(
    val id: RequestId,
    val flow: String,
    val caller: CallerName,
    val priorityClass: PriorityClass,
    val sequence: Long,
    val model: String,
    val prompt: String,
    val maxTokens: Int,
    val minVersion: () -> WeightVersion,
    val deadlineMillis: Long,
    val trace: String?,
    val fromBatch: Boolean = false,
)

/**
 * A completed generation. [versions] and [engines] are those that generated any of its text. [score] is set once it was
 * scored.
 */
internal data class Generation(
    val text: String,
    val tokens: Int,
    val versions: List<WeightVersion>,
    val engines: List<TargetId>,
    val finishReason: String,
    val durationMillis: Long,
    val score: String? = null,
)
