package bergamotwall.gateway.batches

import bergamotwall.model.WeightVersion

/** How one attempt to run an item ended. */
internal sealed interface ItemOutcome {
    /** The whole text is held. */
    data object Whole : ItemOutcome

    /** The target answered that the run failed. */
    data object ErrorAnswer : ItemOutcome

    /** The target answered that the item can never be done. */
    data object Impossible : ItemOutcome

    /** The target did not run it; [full] if it has no slot free now or loads weights. */
    data class NotRun(val reason: String, val full: Boolean = false) : ItemOutcome

    /** The target's weights are none that the batch allows, or none that may go on with the text held. */
    data class Unfit(val version: WeightVersion) : ItemOutcome

    /** The run broke off; the text so far is held. */
    data class Broken(val reason: String) : ItemOutcome

    /** The batch does not want the item any more. */
    data object Cancelled : ItemOutcome
}
