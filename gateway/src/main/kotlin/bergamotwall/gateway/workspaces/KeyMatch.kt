package bergamotwall.gateway.workspaces

import bergamotwall.model.WorkspaceName

/** What the `Authorization` fields of a request say. */
public sealed interface KeyMatch {
    /** A key of [workspace]. */
    public data class Known(val workspace: WorkspaceName, val digest: KeyDigest) : KeyMatch

    /** There is no such field. */
    public data object Missing : KeyMatch

    /** There are several such fields, or the one is not of the form `Bearer KEY`. */
    public data object Malformed : KeyMatch

    /** A key that the configuration does not contain. */
    public data object Unknown : KeyMatch
}
