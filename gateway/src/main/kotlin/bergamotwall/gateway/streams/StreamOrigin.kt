package bergamotwall.gateway.streams

import bergamotwall.gateway.targets.Target
import bergamotwall.model.ServiceName
import bergamotwall.model.SoftwareVersion
import kotlinx.serialization.Serializable

/** Where a stream began: at a target of [service] that runs [softwareVersion]. Only such targets may continue it. */
@Serializable
public data class StreamOrigin(public val service: ServiceName, public val softwareVersion: SoftwareVersion) {
    /** Whether [target] may continue the stream. */
    public fun includes(target: Target): Boolean =
        target.service == service && target.softwareVersion == softwareVersion
}
