package bergamotwall.drivers

/** Complete response of a plain service. */
public data class ServiceAnswer(val status: Int, val contentType: String, val body: String)
