package bergamotwall.gateway.batches

import bergamotwall.model.BatchPage
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull

/** Pages of results of owned batches, of at most [pageBytes] bytes. Confined to the batch loop. */
internal class ResultPages(private val checks: OwnershipChecks, private val pageBytes: Int) {
    /**
     * Returns the results of [batch] from position [after] on, waiting up to [waitMillis] for the first one. Returns
     * null if there is none but the key-value service may hold some.
     */
    suspend fun read(
        batch: OwnedBatch,
        after: Int,
        waitMillis: Long,
    ): BatchPage? {
        if (batch.storedResultCount <= after && !batch.complete && waitMillis > 0) {
            withTimeoutOrNull(waitMillis) { batch.storedCounts.first { it > after } }
        }
        if (batch.storedResultCount <= after && !batch.settled && !batch.known.current) checks.check(batch)
        return batch.page(after, pageBytes)
    }
}
