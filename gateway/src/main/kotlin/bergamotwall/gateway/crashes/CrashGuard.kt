package bergamotwall.gateway.crashes

import bergamotwall.gateway.targets.Target
import bergamotwall.model.Fingerprint

/**
 * Protects targets from requests that crash whatever runs them. Thread-safe. Contents are passed as [Lazy], because
 * they need not be hashed as long as no content is suspected.
 */
public interface CrashGuard {
    /** How long requests with [content] are refused from now on, in milliseconds; 0 if they may run. */
    public fun refusedForMillis(content: Lazy<Fingerprint>): Long

    /** Whether a target crashed while it ran [content]; such content runs at one target at a time. */
    public fun suspects(content: Lazy<Fingerprint>): Boolean

    /** Records that a request on [route] was refused. */
    public fun refused(route: String)

    /** Records that [target] ended the connection while it ran [request]. */
    public fun interrupted(
        request: InterruptedRequest,
        target: Target,
    )

    /** Records that a run of [content] completed. */
    public fun completed(content: Lazy<Fingerprint>)

    /** Instances without state. */
    public companion object {
        /** Suspects no content. */
        public val NONE: CrashGuard =
            object : CrashGuard {
                override fun refusedForMillis(content: Lazy<Fingerprint>): Long = 0

                override fun suspects(content: Lazy<Fingerprint>): Boolean = false

                override fun refused(route: String) = Unit

                override fun interrupted(
                    request: InterruptedRequest,
                    target: Target,
                ) = Unit

                override fun completed(content: Lazy<Fingerprint>) = Unit
            }
    }
}
