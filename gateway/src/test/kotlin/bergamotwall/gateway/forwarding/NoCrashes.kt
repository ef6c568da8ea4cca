package bergamotwall.gateway.forwarding

import bergamotwall.gateway.crashes.CrashGuard
import bergamotwall.gateway.crashes.InterruptedRequest
import bergamotwall.gateway.targets.Target
import bergamotwall.model.Fingerprint

/** [CrashGuard] that suspects no content. */
internal object NoCrashes : CrashGuard {
    override fun refusedForMillis(content: Lazy<Fingerprint>): Long = 0

    override fun suspects(content: Lazy<Fingerprint>): Boolean = false

    override fun refused(route: String) = Unit

    override fun interrupted(
        request: InterruptedRequest,
        target: Target,
    ) = Unit

    override fun completed(content: Lazy<Fingerprint>) = Unit
}
