package bergamotwall.gateway.routes

/** How requests of a route are served, and whether they may be executed more than once. */
public enum class RouteKind {
    /** A single response; may be executed more than once. */
    IDEMPOTENT,

    /** A single response; executed at most once. */
    AT_MOST_ONCE,

    /** A stream of events; executed at most once unless the route is resumable. */
    STREAM,

    /** Batches of items that are accepted at once and executed later. */
    BATCH,
}
