package bergamotwall.gateway.routes

import bergamotwall.model.ConfigurationRevision
import bergamotwall.model.ModelName
import bergamotwall.model.ServiceName

/** Routes in force as of [revision]; revision 0 means that none is known yet. */
public class RouteTable(
    public val revision: ConfigurationRevision = ConfigurationRevision(0),
    public val routes: List<Route> = emptyList(),
    public val services: List<TargetService> = emptyList(),
) {
    private val byHost = routes.groupBy {
        it.host
    }.mapValues { (_, list) -> list.sortedByDescending { it.pathPrefix.length } }

    /** Whether a configuration is known. */
    public val known: Boolean get() = revision.value > 0

    /** The route of [host] with the longest prefix of [path], or null. */
    public fun find(
        host: String,
        path: String,
    ): Route? = byHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Service [name], or null. */
    public fun service(name: ServiceName): TargetService? = services.firstOrNull { it.name == name }

    /** Whether every route to the engines of [model] takes texts that several versions made. */
    public fun mixesVersions(model: ModelName): Boolean {
        val service = serviceOf(model)?.name
        return routes.none { route -> route.batch?.singleVersion == true && route.shares.any { it.service == service } }
    }

    /** Service whose targets run [model], or null. */
    public fun serviceOf(model: ModelName): TargetService? = services.firstOrNull { model in it.models }
}

/** One service behind the routes; [models] is empty for a plain service. */
public data class TargetService(
    val name: ServiceName,
    val maxConnections: Int,
    val models: List<ModelName> = emptyList(),
)
