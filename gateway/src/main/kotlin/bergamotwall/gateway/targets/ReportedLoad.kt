package bergamotwall.gateway.targets

/** Load that a target states with an answer: requests it runs, those that wait there, and those it can run at once. */
public data class ReportedLoad(val running: Int, val waiting: Int, val slots: Int)
