package bergamotwall.drivers

/** Whole answer of a plain service. */
public data class ServiceAnswer(val status: Int, val contentType: String, val body: String)
