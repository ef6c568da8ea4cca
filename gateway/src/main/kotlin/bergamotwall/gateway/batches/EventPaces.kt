package bergamotwall.gateway.batches

import bergamotwall.decisions.batches.EventPace
import bergamotwall.model.TargetId

/**
 * The times between events of items at each target, and the number of events of an item, as seen in the runs of this
 * process. Confined to the batch loop.
 */
internal class EventPaces {
    private val paces = HashMap<TargetId, EventPace>()

    /** Mean number of events of the items completed last; 0 if there were none. */
    var typicalEvents = 0.0
        private set

    /** Records [events] events that arrived from [target] together, [intervalMillis] after the ones before. */
    fun received(
        target: TargetId,
        intervalMillis: Long,
        events: Int,
    ) {
        paces[target] = (paces[target] ?: EventPace()).after(intervalMillis, events)
    }

    /** Records that an item is complete after [events] events. */
    fun completed(events: Int) {
        val known = if (typicalEvents == 0.0) events.toDouble() else typicalEvents
        typicalEvents = known + (events - known) * WEIGHT
    }

    /** Time between events at each of [targets], the median where it is not known; empty if it is known of none. */
    fun of(targets: Collection<TargetId>): Map<TargetId, Double> {
        val known = targets.mapNotNull { paces[it]?.eventMillis }.filter { it > 0 }.sorted()
        if (known.isEmpty()) return emptyMap()
        val median = known[known.size / 2]
        return targets.associateWith { id -> paces[id]?.eventMillis?.takeIf { it > 0 } ?: median }
    }

    private companion object {
        private const val WEIGHT = 0.05
    }
}
