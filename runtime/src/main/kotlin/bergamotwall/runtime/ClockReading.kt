package bergamotwall.runtime

/** A moment on both clocks of a VM, in milliseconds; see [Clock]. */
public data class ClockReading(val monotonicMillis: Long, val wallMillis: Long) {
    /**
     * Time from this moment to [later]. The monotonic clock does not count the time for which the VM was suspended, and
     * the wall clock may be set back, so the longer of the two counts.
     */
    public fun millisUntil(later: ClockReading): Long =
        maxOf(later.monotonicMillis - monotonicMillis, later.wallMillis - wallMillis)

    /** By how much the wall clock went ahead of the monotonic clock until [later]: how long the VM was suspended. */
    public fun suspendedMillisUntil(later: ClockReading): Long =
        later.wallMillis - wallMillis - (later.monotonicMillis - monotonicMillis)
}

/** The current moment. */
public fun Clock.read(): ClockReading = ClockReading(monotonicMillis(), wallMillis())
