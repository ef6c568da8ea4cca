package bergamotwall.gateway.limits

import kotlinx.serialization.Serializable

/** Request limit of a target in the key-value service: [perSecond] requests a second from all processes together. */
@Serializable
internal data class SharedLimit(val perSecond: Double)
