package bergamotwall.gateway.batches

/** How long the items of a batch waited to be sent and where they could go, for the log. Confined to the batch loop. */
internal class PlacementSummary {
    /** Number of targets that were in use in the last dispatch, those of other batches included. */
    var usableTargets = 0

    /** Number of those whose service and weights the batch allows. */
    var eligibleTargets = 0

    private var sent = 0
    private var waitedMillis = 0L
    private var longestWaitMillis = 0L

    /** Records that an item was sent [millis] after it could have been. */
    fun sentAfter(millis: Long) {
        sent++
        waitedMillis += millis
        longestWaitMillis = maxOf(longestWaitMillis, millis)
    }

    override fun toString(): String =
        "$sent attempts, waited ${if (sent == 0) 0 else waitedMillis / sent} ms on average and $longestWaitMillis at " +
            "most, $eligibleTargets of $usableTargets targets eligible"
}
