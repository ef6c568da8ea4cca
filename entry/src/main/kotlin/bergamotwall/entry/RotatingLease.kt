package bergamotwall.entry

import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.LeaseId
import bergamotwall.runtime.Clock
import com.github.michaelbull.result.get

/**
 * A lease shared by all receipts that are written within one minute, so that the number of leases does not grow with
 * the number of receipts.
 */
internal class RotatingLease(
    private val store: KeyValueStore,
    private val clock: Clock,
    private val retentionSeconds: Long,
) {
    private var lease: LeaseId? = null
    private var grantedAtMillis = 0L

    /** The lease for receipts written now, or null if the key-value service could not grant one. */
    suspend fun current(): LeaseId? {
        val nowMillis = clock.monotonicMillis()
        if (lease == null || nowMillis - grantedAtMillis >= ROTATION_SECONDS * MILLIS_PER_SECOND) {
            lease = store.grantLease(retentionSeconds + ROTATION_SECONDS).get()
            grantedAtMillis = nowMillis
        }
        return lease
    }

    private companion object {
        private const val ROTATION_SECONDS = 60L
        private const val MILLIS_PER_SECOND = 1_000L
    }
}
