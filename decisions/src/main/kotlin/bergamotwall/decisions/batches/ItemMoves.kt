package bergamotwall.decisions.batches

import bergamotwall.model.TargetId

/**
 * Chooses the runs that are to continue at another target, at most [maxMoves], those with most time left first.
 *
 * Made for training steps that wait for their slowest group while some targets are several times slower than others. A
 * target reads a prompt and the events generated so far in milliseconds, so a run that has many events left ends
 * earlier at a faster target. How many are left is not known: it is taken to be what is left of the [typicalEvents] of
 * an item, or as many as have been received if that is more, as lengths are heavy-tailed. A run moves only if that
 * saves [MIN_SAVED_MILLIS] and a third of its time, and only to a target that keeps a quarter of its slots free for new
 * requests. Pauses are no reason to move: a target that sends nothing for a second or two usually loads weights.
 */
public fun itemsToMove(
    runs: List<ItemRun>,
    paces: Map<TargetId, TargetPace>,
    typicalEvents: Double,
    maxMoves: Int,
): List<ItemMove> {
    val free = paces.values.associateTo(HashMap()) { it.id to it.free - it.slots / RESERVED_SLOTS }
    val stays = runs.filter { it.moves < MAX_MOVES_OF_ITEM }.associateWith { stayMillis(it, paces, typicalEvents) }
    val moves = ArrayList<ItemMove>()
    for ((run, stayMillis) in stays.entries.sortedByDescending { it.value }) {
        if (moves.size == maxMoves) break
        val best =
            run.eligible
                .filter { it != run.target && (free[it] ?: 0) > 0 }
                .map { paces.getValue(it) }
                .minWithOrNull(compareBy({ it.eventMillis }, { -it.free }))
        val leftMillis = best?.let { MOVE_MILLIS + leftEvents(run, typicalEvents) * it.eventMillis } ?: stayMillis
        val savedMillis = stayMillis - leftMillis
        if (best != null && savedMillis >= maxOf(MIN_SAVED_MILLIS, stayMillis * MIN_SAVED_SHARE)) {
            free[best.id] = free.getValue(best.id) - 1
            moves += ItemMove(run.ticket, best.id, savedMillis.toLong())
        }
    }
    return moves
}

/** Time until [run] is expected to end at its target; 0 if its pace is not known. */
private fun stayMillis(
    run: ItemRun,
    paces: Map<TargetId, TargetPace>,
    typicalEvents: Double,
): Double {
    val eventMillis = paces[run.target]?.eventMillis ?: return 0.0
    return leftEvents(run, typicalEvents) * eventMillis
}

private fun leftEvents(
    run: ItemRun,
    typicalEvents: Double,
): Double = maxOf(typicalEvents - run.received, run.received.toDouble(), 1.0)

/** A new connection, the prompt and the events so far, and a place in the target's next batch of tokens. */
private const val MOVE_MILLIS = 100.0

/** About the time after which a trainer looks for results again; a smaller gain is not noticed. */
private const val MIN_SAVED_MILLIS = 400.0
private const val MIN_SAVED_SHARE = 1 / 3.0

private const val RESERVED_SLOTS = 4

/** A run that was slow at three targets is slow for a reason of its own. */
private const val MAX_MOVES_OF_ITEM = 2
