package bergamotwall.runtime

/** Source of time; tests replace it. */
public interface Clock {
    /**
     * Milliseconds of a clock that never goes backwards and keeps running while the process is paused, but may stand
     * still while its VM is suspended.
     */
    public fun monotonicMillis(): Long

    /** Milliseconds since the epoch. */
    public fun wallMillis(): Long
}

/** Clocks of the operating system. */
public object SystemClock : Clock {
    private const val NANOS_PER_MILLI = 1_000_000L

    override fun monotonicMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

    override fun wallMillis(): Long = System.currentTimeMillis()
}
