package bergamotwall.decisions.batches

import kotlin.math.exp

/**
 * The usual time between two events of a run at a target, [eventMillis]; 0 if not known. Each interval counts by its
 * length, so that the value follows a change of speed within about [SMOOTHING_MILLIS]. Immutable.
 */
public data class EventPace(val eventMillis: Double = 0.0) {
    /** After [events] events that arrived together, [intervalMillis] after the ones before. */
    public fun after(
        intervalMillis: Long,
        events: Int = 1,
    ): EventPace {
        // In a longer pause the target loads weights, which says nothing of its speed.
        if (intervalMillis > MAX_INTERVAL_MILLIS || events < 1) return this
        val millis = intervalMillis.toDouble() / events
        val weight = 1 - exp(-maxOf(intervalMillis, 1L) / SMOOTHING_MILLIS)
        return EventPace(if (eventMillis == 0.0) millis else eventMillis + (millis - eventMillis) * weight)
    }

    private companion object {
        /** Longer than a momentary slowdown of a VM that shares its processors with others. */
        private const val SMOOTHING_MILLIS = 600.0

        /** Longer than between events at a target that is four times slower than usual. */
        private const val MAX_INTERVAL_MILLIS = 350L
    }
}
