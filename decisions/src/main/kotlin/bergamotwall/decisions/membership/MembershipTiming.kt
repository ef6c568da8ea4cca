package bergamotwall.decisions.membership

/**
 * Timing of [Membership]: a suspect is declared dead after [suspicionMillis], and a dead member is removed after
 * [forgetMillis]. A failed probe is repeated through [indirectProbes] members, and a message carries up to [piggyback]
 * recent updates.
 */
public data class MembershipTiming(
    val suspicionMillis: Long,
    val forgetMillis: Long,
    val indirectProbes: Int = 3,
    val piggyback: Int = 8,
)
