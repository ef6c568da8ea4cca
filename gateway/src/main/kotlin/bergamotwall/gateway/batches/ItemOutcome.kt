package bergamotwall.gateway.batches

import bergamotwall.model.WeightVersion

/** Outcome of one attempt to run an item. The names of the variants are label values of the metric `item_attempts`. */
internal sealed interface ItemOutcome {
    /** The text is complete. */
    data object Whole : ItemOutcome

    /** The target responded that the run failed. */
    data object ErrorAnswer : ItemOutcome

    /** The target responded that the item can never succeed. */
    data object Impossible : ItemOutcome

    /** The target did not run the item; [full] if it has no free slot or is loading weights. */
    data class NotRun(val reason: String, val full: Boolean = false) : ItemOutcome

    /** The batch does not allow the target's weight [version], or not as a continuation of the text received so far. */
    data class Unfit(val version: WeightVersion) : ItemOutcome

    /** The run failed before its end; the text received so far is kept. */
    data class Broken(val reason: String) : ItemOutcome

    /** The run was ended so that the item continues at another target. */
    data object Moved : ItemOutcome

    /** The run was cancelled because the batch no longer needs the item. */
    data object Cancelled : ItemOutcome
}
