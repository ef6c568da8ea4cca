package bergamotwall.entry

import bergamotwall.drivers.ServiceRequest
import bergamotwall.model.CallerIntent
import bergamotwall.model.Fingerprint
import bergamotwall.model.PriorityClass
import bergamotwall.model.RequestId

/** A validated call of a plain service. [key] is the key of its receipt and is the same for every retry of the call. */
internal data class ServiceCall(
    val id: RequestId,
    val service: String,
    val caller: CallerIntent,
    val priorityClass: PriorityClass,
    val idempotent: Boolean,
    val key: String,
    val fingerprint: Fingerprint,
    val request: ServiceRequest,
    val deadlineMillis: Long,
)
