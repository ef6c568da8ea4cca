package bergamotwall.gateway.forwarding

import bergamotwall.gateway.routes.Route

/** Forwards requests to the targets of routes. */
public fun interface RequestForwarder {
    /** Forwards [request] to a target of [route]. Cancelling the coroutine makes the targets drop the request. */
    public suspend fun forward(
        request: CallerRequest,
        route: Route,
    ): ForwardOutcome
}
