package bergamotwall.gateway.targets

/** Load that a target states with an answer: requests it runs, requests that wait there, requests it can run at once. */
public data class ReportedLoad(val running: Int, val waiting: Int, val slots: Int)
