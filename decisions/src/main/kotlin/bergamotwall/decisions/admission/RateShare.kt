package bergamotwall.decisions.admission

/** The part of a target's request limit that one process may use: [perSecond] requests a second and [burst] at once. */
public data class RateShare(val perSecond: Double, val burst: Double)
