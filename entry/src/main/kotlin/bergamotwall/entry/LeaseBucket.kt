package bergamotwall.entry

import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.LeaseId
import bergamotwall.runtime.Clock
import com.github.michaelbull.result.get

/** A lease shared by all receipts of a minute, so that the number of leases does not grow with the receipts. */
internal class LeaseBucket(
    private val store: KeyValueStore,
    private val clock: Clock,
    private val retentionSeconds: Long,
) {
    private var lease: LeaseId? = null
    private var grantedAtMillis = 0L

    /** The lease for receipts written now, or null if the service grants none. */
    suspend fun current(): LeaseId? {
        val nowMillis = clock.monotonicMillis()
        if (lease == null || nowMillis - grantedAtMillis >= BUCKET_SECONDS * MILLIS_PER_SECOND) {
            lease = store.grantLease(retentionSeconds + BUCKET_SECONDS).get()
            grantedAtMillis = nowMillis
        }
        return lease
    }

    private companion object {
        private const val BUCKET_SECONDS = 60L
        private const val MILLIS_PER_SECOND = 1_000L
    }
}
