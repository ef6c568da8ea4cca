package bergamotwall.gateway.streams

/**
 * A stream that this process began at [beganAtMillis] on the monotonic clock. [onlyService]: no other service serves
 * its route. [stored]: its record has been written.
 */
internal data class RememberedStream(
    val origin: StreamOrigin,
    val beganAtMillis: Long,
    val onlyService: Boolean,
    val stored: Boolean = false,
)
