package bergamotwall.model

/** Log levels, from the most to the least verbose. */
public val LOG_LEVELS: List<String> = listOf("trace", "debug", "info", "warn", "error")

/** Whether [address] is `host:port`. */
public fun isAddress(address: String): Boolean = NetworkAddress.parse(address) != null
