package bergamotwall.drivers

/** Complete response of a plain service. */
public data class ServiceResponse(val status: Int, val contentType: String, val body: String)
