package bergamotwall.decisions.batches

/**
 * The available targets of a service that scores texts: their [slots], the requests [running] or waiting there, of
 * which this process knows [inFlight] to be reward calls of its own, and the [sharePercent] of the slots that reward
 * calls may fill.
 */
public data class RewardPool(val slots: Int, val running: Int, val inFlight: Int, val sharePercent: Int) {
    /**
     * Number of reward calls that may be sent now. One call is always allowed: its outcome tells whether the service
     * still is as busy as it was.
     */
    val admitted: Int
        get() {
            val free = slots * sharePercent / PERCENT - maxOf(running, inFlight)
            return maxOf(free, if (inFlight == 0) 1 else 0)
        }

    private companion object {
        private const val PERCENT = 100
    }
}
