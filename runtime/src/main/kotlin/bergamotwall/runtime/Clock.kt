package bergamotwall.runtime

/** Time as the process sees it. */
public interface Clock {
    /** Milliseconds of a clock that never goes back and runs on while the process is stopped. */
    public fun monotonicMillis(): Long

    /** Milliseconds since the epoch. */
    public fun wallMillis(): Long
}

/** The machine's clocks. */
public object SystemClock : Clock {
    private const val NANOS_PER_MILLI = 1_000_000L

    override fun monotonicMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

    override fun wallMillis(): Long = System.currentTimeMillis()
}
