package bergamotwall.standins.fakes

import bergamotwall.runtime.Clock

/** Clock that only the test moves. */
public class ManualClock(private var nowMillis: Long = 1_000_000) : Clock {
    /** Moves the clock on. */
    public fun advance(millis: Long) {
        nowMillis += millis
    }

    override fun monotonicMillis(): Long = nowMillis

    override fun wallMillis(): Long = nowMillis
}
