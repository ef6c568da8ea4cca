package bergamotwall.model

/** Log levels, from the most to the least verbose. */
public val LOG_LEVELS: List<String> = listOf("trace", "debug", "info", "warn", "error")

/** Whether [address] is `host:port`. */
public fun isAddress(address: String): Boolean {
    val port = address.substringAfterLast(':', "").toIntOrNull() ?: return false
    return address.substringBeforeLast(':').isNotBlank() && port in 1..MAX_PORT
}

private const val MAX_PORT = 65_535
