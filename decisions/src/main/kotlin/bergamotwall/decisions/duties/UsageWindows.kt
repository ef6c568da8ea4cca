package bergamotwall.decisions.duties

/**
 * Windows of the wall clock for which usage is reported, all of [windowMillis]; window `k` begins `k * windowMillis`
 * after the start of 1970. The report of a window is due [lateMillis] after its end.
 */
public data class UsageWindows(val windowMillis: Long, val lateMillis: Long) {
    /** Time after the end of a window in which starts still arrive as usual. */
    public val settleMillis: Long get() = lateMillis * SETTLE_PERCENT / PERCENT

    /** Time after the end of a window from which nobody's starts are waited for any more. */
    public val latestMillis: Long get() = lateMillis * LATEST_PERCENT / PERCENT

    /** The window that contains [wallMillis]. */
    public fun at(wallMillis: Long): Long = Math.floorDiv(wallMillis, windowMillis)

    /** The beginning of [window]. */
    public fun beginMillis(window: Long): Long = window * windowMillis

    /** The end of [window]. */
    public fun endMillis(window: Long): Long = beginMillis(window + 1)

    /** Time by which the report of [window] is due. */
    public fun dueMillis(window: Long): Long = endMillis(window) + lateMillis

    private companion object {
        private const val SETTLE_PERCENT = 20

        /** The rest is for the write of the report and for some repetitions of the call. */
        private const val LATEST_PERCENT = 60
        private const val PERCENT = 100
    }
}
