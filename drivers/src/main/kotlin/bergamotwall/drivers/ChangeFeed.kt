package bergamotwall.drivers

import com.github.michaelbull.result.Result

/** Changes of a key-value service as a long poll, so that the caller controls how often it asks. */
public fun interface ChangeFeed {
    /**
     * Waits up to [waitMillis] for changes under [prefix] later than [afterRevision]. Fails with
     * [KeyValueError.HistoryGone] if the service no longer has them: list the prefix anew then.
     */
    public suspend fun changes(
        prefix: String,
        afterRevision: Long,
        waitMillis: Long,
    ): Result<KeyValueChanges, KeyValueError>
}
