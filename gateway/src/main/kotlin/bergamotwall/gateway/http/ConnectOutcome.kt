package bergamotwall.gateway.http

/** Outcome of an attempt to connect. */
public enum class ConnectOutcome {
    ESTABLISHED,

    /** The address responded, but accepts no connection. */
    REFUSED,

    /** Nothing came back in time. */
    NO_RESPONSE,
}
