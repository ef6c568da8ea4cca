package bergamotwall.decisions

/** Timing of [Membership]. */
public data class MembershipTiming(
    val suspicionMillis: Long,
    val forgetMillis: Long,
    val indirectProbes: Int = 3,
    val piggyback: Int = 8,
)
