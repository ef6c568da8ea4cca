package bergamotwall.gateway.workspaces

import bergamotwall.model.WorkspaceName

/** Whether a request may be served, as far as its key is concerned. */
public sealed interface KeyAccess {
    /**
     * The request may be served for [workspace], null if it needs no key and has none. [removesKey] and [check] are for
     * what is sent to targets.
     */
    public class Granted(
        public val workspace: WorkspaceName? = null,
        public val removesKey: Boolean = false,
        public val check: KeyCheck = KeyCheck.NONE,
    ) : KeyAccess

    /** The request must not be served because of [refusal]. */
    public data class Refused(val refusal: KeyRefusal) : KeyAccess
}
