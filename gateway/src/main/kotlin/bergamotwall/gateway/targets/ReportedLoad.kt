package bergamotwall.gateway.targets

/**
 * Load that a target reports in a response: requests [running] and [waiting] there, and how many [slots] it has.
 * [slowdownPercent]: how long work takes on its VM at the moment, in percent of the usual duration; null if not
 * reported.
 */
public data class ReportedLoad(
    val running: Int,
    val waiting: Int,
    val slots: Int,
    val slowdownPercent: Int? = null,
)
