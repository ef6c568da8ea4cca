package bergamotwall.gateway.targets

/** Load that a target reports in a response: requests [running] and [waiting] there, and how many [slots] it has. */
public data class ReportedLoad(val running: Int, val waiting: Int, val slots: Int)
