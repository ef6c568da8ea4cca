package bergamotwall.decisions.membership

import bergamotwall.model.Member
import bergamotwall.model.MemberState

/** This process as it announces itself to others. Only the process itself raises its incarnation. Not thread-safe. */
public class SelfMember(initial: Member) {
    /** The current announcement. */
    public var member: Member = initial
        private set

    /** Announces that this process takes no new work. */
    public fun leave(): Unit = announce(MemberState.LEAVING)

    /** Announces that this process takes new work again. */
    public fun rejoin(): Unit = announce(MemberState.ALIVE)

    /**
     * Raises the incarnation above that of [received], if that is higher than the announced one, or if it is the same
     * and the state in [received] is worse than the announced one.
     */
    internal fun refute(received: Member) {
        val newer = received.incarnation > member.incarnation
        val worse = received.incarnation == member.incarnation && received.state > member.state
        if (newer || worse) member = member.copy(incarnation = received.incarnation + 1)
    }

    private fun announce(state: MemberState) {
        if (member.state != state) member = member.copy(state = state, incarnation = member.incarnation + 1)
    }
}
