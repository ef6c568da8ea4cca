package bergamotwall.gateway.streams

import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.model.RequestId
import bergamotwall.model.ServiceName

/** Keys in the key-value service that tell where resumable streams began. */
internal object StreamKeys {
    /** Prefix of the version histories of services. */
    const val HISTORIES = "${GatewayKeys.LIVE}software/"

    /** Prefix of the origins of single streams. */
    const val ORIGINS = "bergamotwall/streams/"

    /** Key of the version history of [service]. */
    fun history(service: ServiceName): String = HISTORIES + service.value

    /** Key of the origin of the stream that request [id] began. */
    fun origin(id: RequestId): String = ORIGINS + id.value
}
