package bergamotwall.standins.fakes

import bergamotwall.runtime.Clock

/** Clock that advances only when a test says so. */
public class ManualClock(private var nowMillis: Long = 1_000_000) : Clock {
    /** Advances the clock by [millis]. */
    public fun advance(millis: Long) {
        nowMillis += millis
    }

    override fun monotonicMillis(): Long = nowMillis

    override fun wallMillis(): Long = nowMillis
}
