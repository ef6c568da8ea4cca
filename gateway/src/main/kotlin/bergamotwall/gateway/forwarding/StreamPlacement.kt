package bergamotwall.gateway.forwarding

import bergamotwall.gateway.routes.Route
import bergamotwall.gateway.routes.RouteKind
import bergamotwall.gateway.streams.OriginPeek
import bergamotwall.gateway.streams.StreamOrigin
import bergamotwall.gateway.streams.StreamOrigins
import bergamotwall.gateway.targets.Target
import bergamotwall.model.ServiceName

/**
 * The targets at which [request] may run, as far as it is a stream: a resumed stream continues at the service and
 * software version that began it, a new one that may be resumed begins where this can be told later.
 */
internal class StreamPlacement(
    private val request: CallerRequest,
    private val route: Route,
    private val origins: StreamOrigins,
) {
    private val services = route.shares.mapTo(HashSet()) { it.service }
    private val stream = route.kind == RouteKind.STREAM
    private var origin: StreamOrigin? = null

    /** The service that began the resumed stream; null for other requests. */
    val service: ServiceName? get() = origin?.service

    /** Finds out where a resumed stream began. Returns why it can't be continued, or null if it can. */
    suspend fun refusal(): String? {
        val resume = request.resume?.takeIf { stream } ?: return null
        val found = origins.find(resume.first, services)
        origin = found
        return refusalOf(found)
    }

    /**
     * What [refusal] would find out if it is known without a call to the key-value service; null if the request does
     * not resume a stream. Changes nothing but the targets that [allows] accepts.
     */
    fun peek(): OriginPeek? {
        val resume = request.resume?.takeIf { stream } ?: return null
        return origins.peek(resume.first, services).also { origin = (it as? OriginPeek.Known)?.origin }
    }

    /** Why a stream that began at [found] can't be continued, or null if it can. */
    fun refusalOf(found: StreamOrigin?): String? =
        when {
            found == null -> "not known at which software version the stream began"
            found.service !in services -> "service ${found.service.value} no longer serves the stream's route"
            else -> null
        }

    /** Whether the request may run at [target]. */
    fun allows(target: Target): Boolean =
        origin?.includes(target) ?: (!stream || !route.resumable || origins.mayBeginAt(target))

    /** Records that the request runs at [target]. */
    fun started(target: Target) {
        if (route.resumable && request.resume == null) origins.began(request.id, target, services)
    }
}
