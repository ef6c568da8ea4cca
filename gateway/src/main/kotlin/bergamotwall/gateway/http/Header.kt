package bergamotwall.gateway.http

/** One header field of a message. */
public data class Header(val name: String, val value: String)

/** Value of the first field [name], or null; names compare without case. */
public fun List<Header>.valueOf(name: String): String? = firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
