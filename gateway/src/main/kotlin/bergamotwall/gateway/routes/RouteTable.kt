package bergamotwall.gateway.routes

import bergamotwall.decisions.scaling.ScalingTerms
import bergamotwall.gateway.workspaces.Workspaces
import bergamotwall.model.ConfigurationRevision
import bergamotwall.model.ModelName
import bergamotwall.model.ServiceName

/**
 * Routes, services and workspaces of the configuration at [revision]. Revision 0 means that no configuration has been
 * read yet.
 */
public class RouteTable(
    public val revision: ConfigurationRevision = ConfigurationRevision(0),
    public val routes: List<Route> = emptyList(),
    public val services: List<TargetService> = emptyList(),
    public val workspaces: Workspaces = Workspaces(),
) {
    private val byHost = routes.groupBy {
        it.host
    }.mapValues { (_, list) -> list.sortedByDescending { it.pathPrefix.length } }

    /** Whether a configuration has been read. */
    public val known: Boolean get() = revision.value > 0

    /** The route of [host] with the longest prefix that matches [path], or null if none matches. */
    public fun find(
        host: String,
        path: String,
    ): Route? = byHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** The service called [name], or null if the configuration has none. */
    public fun service(name: ServiceName): TargetService? = services.firstOrNull { it.name == name }

    /** Whether every route to the engines of [model] accepts texts to which several weight versions contributed. */
    public fun allowsMixedVersions(model: ModelName): Boolean {
        val service = serviceOf(model)?.name
        return routes.none { route -> route.batch?.singleVersion == true && route.shares.any { it.service == service } }
    }

    /** The service whose targets run [model], or null if there is none. */
    public fun serviceOf(model: ModelName): TargetService? = services.firstOrNull { model in it.models }
}

/**
 * A service that routes forward to. [models] is empty for a plain service. [scaling] is null if no targets of the
 * service are ordered.
 */
public data class TargetService(
    val name: ServiceName,
    val maxConnections: Int,
    val models: List<ModelName> = emptyList(),
    val scaling: ScalingTerms? = null,
)
