package bergamotwall.model

/** Levels of the log, from most to least. */
public val LOG_LEVELS: List<String> = listOf("trace", "debug", "info", "warn", "error")

/** Whether [address] is `host:port`. */
public fun isAddress(address: String): Boolean {
    val port = address.substringAfterLast(':', "").toIntOrNull() ?: return false
    return address.substringBeforeLast(':').isNotBlank() && port in 1..MAX_PORT
}

private const val MAX_PORT = 65_535
