package bergamotwall.gateway.batches

/** What the placement of a batch's items saw, for the log. Confined to the batch loop. */
internal class PlacementSummary {
    /** Targets of the batch's services that can be used, in the last dispatch. */
    var usableTargets = 0

    /** Those of them whose weights the batch allows. */
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
