package bergamotwall.gateway.relays

import bergamotwall.gateway.http.Header
import bergamotwall.gateway.http.TargetRequest

/** Header fields between the processes of a relayed request. */
internal object RelayHeaders {
    /** Address of the target. */
    const val TARGET = "relay-target"

    /** Name of the header field that the target echoes. */
    const val IDENTITY = "relay-identity"

    /** Present if the request may run more than once. */
    const val REPEATABLE = "relay-repeatable"

    /** Time without any part of a response after which the sender has given up. */
    const val MAX_SILENCE_MILLIS = "relay-max-silence-millis"

    /** In responses without a target's response: [NOT_RUN], [UNKNOWN] or [DISCONNECTED]. */
    const val OUTCOME = "relay-outcome"

    /** The target has not received the request. */
    const val NOT_RUN = "not-run"

    /** The target may have run the request. */
    const val UNKNOWN = "unknown"

    /** The target ended the connection before its response; it may have run the request. */
    const val DISCONNECTED = "disconnected"

    private val ALL = setOf(TARGET, IDENTITY, REPEATABLE, MAX_SILENCE_MILLIS, OUTCOME)

    /** Fields to add to [request], which is to be passed on to [address]. */
    fun of(
        address: String,
        request: TargetRequest,
    ): List<Header> =
        listOfNotNull(
            Header(TARGET, address),
            request.identity?.let { Header(IDENTITY, it.name) },
            Header(REPEATABLE, "1").takeIf { request.repeatable },
            request.maxSilenceMillis?.let { Header(MAX_SILENCE_MILLIS, it.toString()) },
        )

    /** Whether [name] is one of these fields. */
    fun contains(name: String): Boolean = name.lowercase() in ALL
}
