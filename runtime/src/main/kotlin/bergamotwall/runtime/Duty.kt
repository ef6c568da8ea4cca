package bergamotwall.runtime

import bergamotwall.decisions.LeaseHolding
import bergamotwall.drivers.Condition
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.LeaseId
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.drivers.Write
import bergamotwall.model.FencingNumber
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get

/**
 * One duty that at most one process holds, by a lease in the key-value service. Not thread-safe.
 *
 * The fencing number is the revision at which the lease's key was created, so a later holder has a higher one. An
 * order may be sent only while [holding] says so, on this process's own monotonic clock.
 */
public class Duty(
    public val name: String,
    parts: DutyParts,
    private val ttlSeconds: Long,
    private val keys: DutyKeys = DutyKeys(SharedKeys.duty(name)),
) {
    private val node = parts.node
    private val store = parts.store
    private val clock = parts.clock
    private val journal = parts.journal
    private class LastHolder(val key: String, val entry: KeyValueEntry?)

    private var lease: LeaseId? = null
    private var leaseRevision = 0L

    /** Whether no other process has acted since this one last did; false if last holders are not recorded. */
    @Volatile
    public var actedLast: Boolean = false
        private set

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

    /**
     * Records that this process acts from now on; until then its predecessor counts as the last that did. Returns
     * whether it may act.
     */
    public suspend fun startActing(): Boolean {
        val key = keys.lastHolder
        if (key != null && !actedLast) {
            val put = Write.Put(key, node.value)
            val outcome = store.commit(Transaction(listOf(Condition.Unchanged(keys.lease, leaseRevision)), listOf(put)))
            actedLast = outcome.get() is TransactionOutcome.Committed
        }
        return key == null || actedLast
    }

    /** Gives the duty up. */
    public suspend fun release() {
        val held = lease ?: return
        drop("released")
        store.revoke(held)
    }

    private suspend fun acquire() {
        val found = store.get(keys.lease)
        val entry = found.get()
        // An entry that names this process is that of an earlier incarnation, or of a lease it gave up for lost.
        if (found.isOk && (entry == null || entry.value == node.value)) take(entry)
    }

    private suspend fun take(entry: KeyValueEntry?) {
        val last = keys.lastHolder?.let { key -> store.get(key).fold({ LastHolder(key, it) }, { return }) }
        val requestedAtMillis = clock.monotonicMillis()
        val granted = store.grantLease(ttlSeconds).get() ?: return
        val conditions = listOfNotNull(conditionOf(keys.lease, entry), last?.let { conditionOf(it.key, it.entry) })
        val outcome =
            store.commit(Transaction(conditions, listOf(Write.Put(keys.lease, node.value, granted)))).get()
        if (outcome is TransactionOutcome.Committed) {
            val ttlMillis = ttlSeconds * MILLIS_PER_SECOND
            lease = granted
            leaseRevision = outcome.revision
            actedLast = last?.entry?.value == node.value
            val fence = FencingNumber(outcome.revision)
            holding = LeaseHolding(fence, requestedAtMillis, ttlMillis, ttlMillis / MARGIN_PARTS)
            val rule = if (actedLast) "no other process acted since this one" else "the lease was free"
            journal.record(Decision("duty/$name", "acquired", rule, "", "fence ${outcome.revision}"))
        } else {
            store.revoke(granted)
        }
    }

    private fun conditionOf(
        key: String,
        entry: KeyValueEntry?,
    ): Condition = if (entry == null) Condition.Absent(key) else Condition.Unchanged(key, entry.modRevision)

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
