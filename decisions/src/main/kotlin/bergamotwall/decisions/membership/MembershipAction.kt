package bergamotwall.decisions.membership

import bergamotwall.model.Member

/** Network call that the caller of [Membership] has to make. */
public sealed interface MembershipAction {
    /** Probe the process at [peerAddress]. */
    public data class Probe(val peerAddress: String) : MembershipAction

    /** Ask [via] to probe [target]. */
    public data class ProbeThrough(val via: Member, val target: Member) : MembershipAction
}
