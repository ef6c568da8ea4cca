package bergamotwall.drivers

/** Request to a plain service. [key] is its idempotency key; [trace] is a W3C `traceparent`. */
public data class ServiceRequest(
    val method: String,
    val path: String,
    val contentType: String,
    val body: String,
    val key: String?,
    val timeoutMillis: Long,
    val trace: String? = null,
)
