package bergamotwall.gateway.workspaces

import bergamotwall.model.WorkspaceName

/** The workspaces of a configuration; none if it has no [workspaces], and then callers need no keys. */
public class Workspaces(workspaces: List<Workspace> = emptyList()) {
    private val priorities = workspaces.associate { it.name to it.priority }
    private val names = HashMap<KeyDigest, WorkspaceName>()

    init {
        workspaces.forEach { workspace -> workspace.keys.forEach { names.putIfAbsent(it, workspace.name) } }
    }

    /** Whether callers need keys. */
    public val active: Boolean = workspaces.isNotEmpty()

    /** The workspace to which the key in the [values] of a request's `Authorization` fields belongs. */
    public fun authorize(values: List<String>): KeyMatch {
        val key = values.singleOrNull()?.let { BEARER.matchEntire(it.trim()) }?.groupValues?.get(1)
        if (key == null) return if (values.isEmpty()) KeyMatch.Missing else KeyMatch.Malformed
        val digest = KeyDigest.of(key)
        return find(digest)?.let { KeyMatch.Known(it, digest) } ?: KeyMatch.Unknown
    }

    /** The workspace to which the key with [digest] belongs, or null if there is none. */
    public fun find(digest: KeyDigest): WorkspaceName? = names[digest]

    /** Priority of the workspace [name]; the lowest if it is null or not known. */
    public fun priorityOf(name: WorkspaceName?): Int = priorities[name] ?: Int.MAX_VALUE

    private companion object {
        /** Credentials of RFC 6750, 2.1, with any visible characters in the key. */
        private val BEARER = Regex("[Bb][Ee][Aa][Rr][Ee][Rr] +([!-~]+)")
    }
}
