package bergamotwall.runtime

import bergamotwall.decisions.LeaseHolding
import bergamotwall.drivers.Condition
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.LeaseId
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.drivers.Write
import bergamotwall.model.FencingNumber
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get

/**
 * One duty that at most one process holds, by a lease under [key] in the key-value service. Not thread-safe.
 *
 * The fencing number is the revision at which the lease's key was created, so a later holder has a higher one. An
 * order may be sent only while [holding] says so, on this process's own monotonic clock.
 */
public class Duty(
    public val name: String,
    parts: DutyParts,
    private val ttlSeconds: Long,
    private val key: String = SharedKeys.duty(name),
) {
    private val node = parts.node
    private val store = parts.store
    private val clock = parts.clock
    private val journal = parts.journal
    private var lease: LeaseId? = null

    /** The lease as held, or null. */
    @Volatile
    public var holding: LeaseHolding? = null
        private set

    /** Whether an order may be sent now. */
    public fun mayAct(): Boolean = holding?.mayAct(clock.monotonicMillis()) ?: false

    /** Tries to get the duty, or to keep it. Call several times a lease time. */
    public suspend fun step() {
        val current = holding
        when {
            current == null -> acquire()
            current.renewalDue(clock.monotonicMillis()) -> renew(current)
        }
    }

    /** Gives the duty up. */
    public suspend fun release() {
        val held = lease ?: return
        drop("released")
        store.revoke(held)
    }

    private suspend fun acquire() {
        val free = store.get(key).fold({ it == null }, { false })
        if (!free) return
        val requestedAtMillis = clock.monotonicMillis()
        val granted = store.grantLease(ttlSeconds).get() ?: return
        val put = Write.Put(key, node.value, granted)
        val transaction = Transaction(listOf(Condition.Absent(key)), listOf(put))
        val outcome = store.commit(transaction).get()
        if (outcome is TransactionOutcome.Committed) {
            val ttlMillis = ttlSeconds * MILLIS_PER_SECOND
            lease = granted
            val fence = FencingNumber(outcome.revision)
            holding = LeaseHolding(fence, requestedAtMillis, ttlMillis, ttlMillis / MARGIN_PARTS)
            journal.record(Decision("duty/$name", "acquired", "the lease was free", "", "fence ${outcome.revision}"))
        } else {
            store.revoke(granted)
        }
    }

    private suspend fun renew(current: LeaseHolding) {
        val held = lease ?: return
        val requestedAtMillis = clock.monotonicMillis()
        store.keepAlive(held).fold(
            success = { holding = current.renewed(requestedAtMillis) },
            failure = { error ->
                val over = error is KeyValueError.LeaseGone || !current.mayAct(clock.monotonicMillis())
                if (over) drop(error.detail)
            },
        )
    }

    private fun drop(cause: String) {
        holding = null
        lease = null
        journal.record(Decision("duty/$name", "given up", "no order without a lease", cause))
    }

    private companion object {
        private const val MILLIS_PER_SECOND = 1_000L
        private const val MARGIN_PARTS = 4
    }
}
