package bergamotwall.gateway.news

/** How long polls are held back, where a proof of a follower may be [maxAgeMillis] old. */
internal class SharedWatchTiming(private val maxAgeMillis: Long) {
    /**
     * How long a follower may hold back a reader's poll that the service would be asked to hold back for [usualMillis].
     * A follower that falls silent is given up before the reader's latest proof, which is [proofAgeMillis] old, is much
     * older than a proof may be.
     */
    fun longPollMillis(
        usualMillis: Long,
        proofAgeMillis: Long,
    ): Long {
        val remainingMillis = maxAgeMillis - PROOF_MARGIN_MILLIS - proofAgeMillis
        return minOf(usualMillis, remainingMillis.coerceIn(MIN_WAIT_MILLIS, readerWaitMillis(usualMillis)))
    }

    /**
     * How long the service is asked to hold back a follower's poll, of at most [usualMillis], while the follower's
     * latest proof is [proofAgeMillis] old. The wait ends before that proof is too old for readers.
     */
    fun followerWaitMillis(
        usualMillis: Long,
        proofAgeMillis: Long,
    ): Long {
        val longestMillis = readerWaitMillis(usualMillis) * FOLLOWER_WAIT_PERCENT / PERCENT
        return minOf(usualMillis, (longestMillis - proofAgeMillis).coerceAtLeast(MIN_WAIT_MILLIS))
    }

    private fun readerWaitMillis(usualMillis: Long): Long =
        minOf(usualMillis * READER_WAIT_PERCENT / PERCENT, maxAgeMillis - AGE_MARGIN_MILLIS)
            .coerceAtLeast(MIN_WAIT_MILLIS)

    companion object {
        /** Shortest long poll. */
        const val MIN_WAIT_MILLIS: Long = 20

        private const val PERCENT = 100

        /**
         * A silent follower is noticed, and the other one and the service asked, in the time in which a poll of the
         * service itself would fail.
         */
        private const val READER_WAIT_PERCENT = 66

        /** Shorter than the readers' polls, so that each of these ends with a new proof. */
        private const val FOLLOWER_WAIT_PERCENT = 80

        /** Time for asking the other follower and the service after a follower fell silent. */
        private const val PROOF_MARGIN_MILLIS = 200L

        /** For the calls of the follower itself: its proof must not become too old while it waits for the next. */
        private const val AGE_MARGIN_MILLIS = 100L
    }
}
