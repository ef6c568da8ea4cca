package bergamotwall.decisions.membership

/**
 * The revision from which a watch on a prefix without changes polls the key-value service, so that the service does not
 * drop the changes after that revision while the prefix is quiet. Not thread-safe.
 *
 * The revision of an empty response alone does not prove that nothing changed before it, because the service may have
 * dropped a change while it held the response back. A poll after the same or a later revision that succeeds proves
 * that it had not: for a revision whose later changes are dropped the service returns an error. The revision of an
 * empty response is therefore used once the poll after it was answered without changes too.
 */
public class QuietRevision {
    private var after = NONE
    private var proven = NONE
    private var reported = NONE

    /** The revision to poll from, for a caller that has seen all changes up to [after]. */
    public fun pollAfter(after: Long): Long = if (after == this.after) maxOf(after, proven) else after

    /** Records an empty response with [revision] to a poll from [pollAfter] of [after]. */
    public fun answeredEmpty(
        after: Long,
        revision: Long,
    ) {
        proven = if (after == this.after) maxOf(proven, reported) else NONE
        this.after = after
        reported = revision
    }

    /** Forgets all revisions: a poll returned changes or failed. */
    public fun reset() {
        after = NONE
        proven = NONE
        reported = NONE
    }

    private companion object {
        private const val NONE = -1L
    }
}
