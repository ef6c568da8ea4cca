package bergamotwall.gateway.routes

/** How requests of a route are served, and whether they may run again. */
public enum class RouteKind {
    /** One answer; may run more than once. */
    IDEMPOTENT,

    /** One answer; runs at most once. */
    AT_MOST_ONCE,

    /** A stream of events; runs at most once unless the route is resumable. */
    STREAM,

    /** Batches of items that run later. */
    BATCH,
}
