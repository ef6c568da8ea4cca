package bergamotwall.entry

import bergamotwall.model.CallerIntent
import bergamotwall.model.ModelIntent
import bergamotwall.model.PriorityClass

/** An authenticated and validated completion call. */
internal data class AcceptedCompletion(
    val id: String,
    val call: CompletionCall,
    val caller: CallerIntent,
    val model: ModelIntent,
    val priorityClass: PriorityClass,
    val deadlineMillis: Long,
    val trace: String?,
)
