package bergamotwall.decisions

/** Load of a dispatcher: requests [queued] and [running], the pooled window and the part kept from training. */
public data class DispatchLoad(val queued: Int, val running: Int, val capacity: Int, val reserved: Int)
