package bergamotwall.decisions

import bergamotwall.model.Member
import bergamotwall.model.MemberState

/** This process as it announces itself: only it raises its incarnation. Not thread-safe. */
public class SelfMember(initial: Member) {
    /** The current announcement. */
    public var member: Member = initial
        private set

    /** Announces that this process takes no new work. */
    public fun leave(): Unit = announce(MemberState.LEAVING)

    /** Announces that this process takes new work again. */
    public fun rejoin(): Unit = announce(MemberState.ALIVE)

    /** Contradicts [heard] if it says worse, or something newer, than this process does. */
    internal fun refute(heard: Member) {
        val overruled = heard.incarnation > member.incarnation
        val slandered = heard.incarnation == member.incarnation && heard.state > member.state
        if (overruled || slandered) member = member.copy(incarnation = heard.incarnation + 1)
    }

    private fun announce(state: MemberState) {
        if (member.state != state) member = member.copy(state = state, incarnation = member.incarnation + 1)
    }
}
