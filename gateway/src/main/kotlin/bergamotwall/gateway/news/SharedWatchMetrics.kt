package bergamotwall.gateway.news

import bergamotwall.gateway.GatewayMetrics

/** Metrics of the shared watches, of which [watches] are there in the role that [role] returns. */
internal class SharedWatchMetrics(
    metrics: GatewayMetrics,
    role: () -> WatchRole,
    watches: () -> Collection<SharedWatch>,
) {
    private val polls = metrics.counter("watch_polls", "Polls for changes, by who answers them.", "source")

    /** Counts a poll of the service itself. */
    fun polledService(): Unit = polls.labelValues("service").inc()

    /** Counts a poll that a follower answered. */
    fun polledFollower(): Unit = polls.labelValues("follower").inc()

    init {
        metrics.gauge("watch_follower", "1 if the process watches the key-value service for others.") {
            if (role() is WatchRole.Follower) 1 else 0
        }
        metrics.gauge("followed_prefixes", "Prefixes of which a follower sends the changes.") {
            watches().count { it.source != null }
        }
    }
}
