package bergamotwall.gateway.intake

/**
 * A server of the process, with its part of all connections in percent. Health checks, peers and the collector of
 * metrics keep theirs while callers have opened as many as they may.
 */
public enum class IntakeServer(internal val connectionPercent: Int) {
    CALLERS(60),
    RELAY(25),
    OPERATIONS(10),
    METRICS(5),
}
