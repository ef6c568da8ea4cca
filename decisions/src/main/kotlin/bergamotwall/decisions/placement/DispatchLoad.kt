package bergamotwall.decisions.placement

/**
 * Load of a dispatcher: [queued] and [running] requests, the pooled [capacity] of its usable targets, and the part of
 * that capacity that is [reserved] for application requests.
 */
public data class DispatchLoad(val queued: Int, val running: Int, val capacity: Int, val reserved: Int)
