package bergamotwall.gateway.http

/** A header field of an HTTP message. */
public data class Header(val name: String, val value: String)

/** Value of the first field called [name], ignoring case, or null. */
public fun List<Header>.valueOf(name: String): String? = firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
