package bergamotwall.decisions.admission

/**
 * Decides how much memory clients may take, and which of them give way when it is short.
 *
 * Load pattern: clients that nobody controls send many large bodies at once, which stop short of their end, or heads
 * that take far more memory than bytes, on connections whose responses are not read. Large requests leave a part of
 * [limitBytes] to small ones, and those of callers leave a part of that to health checks and peers. Requests that wait
 * for memory get it in the order in which they began, so that some of them are completed whatever the others do.
 */
public class IntakeBudget(public val limitBytes: Long) {
    /** The most that one request may hold. */
    public val maxRequestBytes: Long get() = limitBytes - limitBytes / SMALL_PARTS

    /** Whether a request that holds [ownBytes] may hold [moreBytes] more, as all together hold [heldBytes]. */
    public fun admits(
        heldBytes: Long,
        ownBytes: Long,
        moreBytes: Long,
        privileged: Boolean,
    ): Boolean {
        val usableBytes =
            when {
                !isSmall(ownBytes + moreBytes) -> maxRequestBytes
                privileged -> limitBytes
                else -> limitBytes - limitBytes / PRIVILEGED_PARTS
            }
        return heldBytes + moreBytes <= usableBytes
    }

    /** Whether a request of [bytes] is an ordinary small one, which is refused last. */
    public fun isSmall(bytes: Long): Boolean = bytes <= SMALL_BYTES

    /**
     * The one of [connections] that is closed first while memory is short: of those without progress for
     * [stalledMillis] the one that holds most for longest; if there is none and [overdue], the one that holds most of
     * those that wait for memory, but for the first of them. Null if all make progress.
     */
    public fun <T : IntakeHolding> closedFirst(
        connections: Collection<T>,
        stalledMillis: Long,
        overdue: Boolean,
    ): T? {
        val holding = connections.filter { it.heldBytes > 0 }
        val stalled = holding.filter { it.waitingMillis == null && it.stalledMillis >= stalledMillis }
        val waiting = holding.filter { it.waitingMillis != null }
        val first = waiting.maxByOrNull { it.waitingMillis ?: 0 }
        return stalled.maxByOrNull { it.heldBytes * it.stalledMillis }
            ?: waiting.filter { overdue && it !== first }.maxByOrNull { it.heldBytes }
    }

    private companion object {
        /** A head of usual length with a body of a few tens of kilobytes. */
        private const val SMALL_BYTES = 65_536L

        /** Enough for some hundred small requests in a heap of 96 MB. */
        private const val SMALL_PARTS = 8
        private const val PRIVILEGED_PARTS = 32
    }
}
