package bergamotwall.gateway.workspaces

import kotlinx.serialization.Serializable

/** Settings of workspaces. */
@Serializable
public data class WorkspaceSettings(
    /**
     * Time after the acknowledgement of a configuration that removes a key from which on no request with that key may
     * run. Keys are refused while the configuration has not been known to be the newest for nine tenths of it. Null if
     * there is no such bound: a process that can't reach the key-value service accepts the keys that it knows.
     */
    val revokeMillis: Long? = null,
) {
    /**
     * The duration of a long poll for the configuration, [waitMillis] without a bound. At most half of the bound, so
     * that keys stay valid between two polls.
     */
    internal fun waitMillis(waitMillis: Long): Long = minOf(waitMillis, (revokeMillis ?: Long.MAX_VALUE) / 2)
}
