package bergamotwall.drivers

import com.github.michaelbull.result.Result

/** Long poll for changes in a key-value service; the caller controls how often it polls. */
public fun interface ChangeFeed {
    /**
     * Waits up to [waitMillis] for changes under [prefix] later than [afterRevision]. Fails with
     * [KeyValueError.HistoryCompacted] if the service no longer has them; the caller must list the prefix again then.
     */
    public suspend fun changes(
        prefix: String,
        afterRevision: Long,
        waitMillis: Long,
    ): Result<KeyValueChanges, KeyValueError>
}
