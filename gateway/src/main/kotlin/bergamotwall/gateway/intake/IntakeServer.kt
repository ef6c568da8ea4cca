package bergamotwall.gateway.intake

/**
 * A server of the process, with its part of all connections in percent. Health checks, peers and the collector of
 * metrics keep theirs while callers have opened as many as they may.
 */
public enum class IntakeServer(internal val connectionPercent: Int) {
    CALLERS(connectionPercent = 60),
    RELAY(connectionPercent = 25),
    OPERATIONS(connectionPercent = 10),
    METRICS(connectionPercent = 5),
}
