package bergamotwall.decisions.batches

/**
 * A reward call that waits to be sent, identified by its [ticket]. [dueAtMillis] is the time at which its batch is due.
 * [ungeneratedInGroup] is the number of items of its group whose texts are not complete. [groupOrder] is the position
 * of its group in the batch, in which carried-over groups come first.
 */
public data class WaitingReward(
    val ticket: Int,
    val dueAtMillis: Long,
    val ungeneratedInGroup: Int,
    val groupOrder: Int,
)
