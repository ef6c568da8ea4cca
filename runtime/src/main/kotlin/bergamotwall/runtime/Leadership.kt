package bergamotwall.runtime

import bergamotwall.decisions.duties.LeaseHolding
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
 * Leadership of one task of the fleet, which at most one process holds, by a lease in the key-value service. Not
 * thread-safe.
 *
 * The fencing token is the revision at which the lease's key was created, so a later leader has a higher one. An order
 * may be sent only while [mayAct] is true, which depends on [holding] and this process's own monotonic clock.
 *
 * [watched] returns the keys as a watch knows them, so that they need not be read, or null. If they have changed since,
 * the transaction that acquires the lease is declined, and they are read before the next one.
 */
public class Leadership(
    public val name: String,
    dependencies: LeadershipDependencies,
    private val ttlSeconds: Long,
    private val keys: LeadershipKeys = LeadershipKeys(SharedKeys.leadership(name)),
    private val watched: () -> WatchedLeadership? = { null },
) {
    private val node = dependencies.node
    private val store = dependencies.store
    private val clock = dependencies.clock
    private val journal = dependencies.journal

    private class LastHolder(val key: String, val entry: KeyValueEntry?)

    /** Whether an attempt to acquire the lease with what the watch knows has failed. */
    private var watchFailed = false
    private var lease: LeaseId? = null
    private var leaseRevision = 0L

    /** Whether this process was the last to act as leader; false if [LeadershipKeys.lastHolder] is not set. */
    @Volatile
    public var actedLast: Boolean = false
        private set

    /** Whether the leader before this one resigned, so that nothing of it needs to be waited for. */
    @Volatile
    public var predecessorResigned: Boolean = false
        private set

    /** The lease that this process holds, or null. */
    @Volatile
    public var holding: LeaseHolding? = null
        private set

    /** Whether an order may be sent now. */
    public fun mayAct(): Boolean = holding?.mayAct(clock.monotonicMillis()) ?: false

    /** Acquires the leadership if it is free, or renews the lease. Must be called several times per lease TTL. */
    public suspend fun step() {
        val current = holding
        when {
            current == null -> acquire()
            current.renewalDue(clock.monotonicMillis()) -> renew(current)
        }
    }

    /**
     * Records this process as the last one that acted as leader, which until then is its predecessor. Returns whether
     * this process may act.
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

    /** Gives up the leadership, so that another process can acquire it at once. */
    public suspend fun release() {
        val current = lease ?: return
        drop("released")
        store.revoke(current)
    }

    /**
     * Gives up the leadership like [release], and lets the next leader act at once. Requires that no order is under
     * way, and that the platform's pause between the orders of two leaders has passed.
     */
    public suspend fun resign() {
        val key = keys.lastHolder
        val revision = leaseRevision
        val mayResign = key != null && actedLast && mayAct()
        val current = lease
        drop("resigned")
        if (key != null && mayResign) {
            val put = Write.Put(key, LeadershipKeys.RESIGNED)
            store.commit(Transaction(listOf(Condition.Unchanged(keys.lease, revision)), listOf(put)))
        }
        current?.let { store.revoke(it) }
    }

    private suspend fun acquire() {
        val known = watched().takeUnless { watchFailed }
        when {
            known == null -> readAndAcquire()
            known.lease == null || known.lease.value == node.value -> {
                acquire(known.lease, keys.lastHolder?.let { LastHolder(it, known.lastHolder) })
                watchFailed = holding == null
            }
        }
    }

    private suspend fun readAndAcquire() {
        val response = store.get(keys.lease)
        val entry = response.get()
        // An entry that names this process stems from an earlier incarnation, or from a lease that it considered lost.
        if (!response.isOk || entry != null && entry.value != node.value) return
        val last = keys.lastHolder?.let { key -> store.get(key).fold({ LastHolder(key, it) }, { return }) }
        acquire(entry, last)
    }

    /** Acquires the leadership if the keys are still absent or as in [entry] and [last]. */
    private suspend fun acquire(
        entry: KeyValueEntry?,
        last: LastHolder?,
    ) {
        val requestedAtMillis = clock.monotonicMillis()
        val granted = store.grantLease(ttlSeconds).get() ?: return
        val conditions = listOfNotNull(conditionOf(keys.lease, entry), last?.let { conditionOf(it.key, it.entry) })
        val outcome =
            store.commit(Transaction(conditions, listOf(Write.Put(keys.lease, node.value, granted)))).get()
        if (outcome is TransactionOutcome.Committed) {
            val ttlMillis = ttlSeconds * MILLIS_PER_SECOND
            lease = granted
            watchFailed = false
            leaseRevision = outcome.revision
            actedLast = last?.entry?.value == node.value
            predecessorResigned = last?.entry?.value == LeadershipKeys.RESIGNED
            val fence = FencingNumber(outcome.revision)
            holding = LeaseHolding(fence, requestedAtMillis, ttlMillis, ttlMillis / MARGIN_DIVISOR)
            val rule =
                when {
                    actedLast -> "no other process acted since this one"
                    predecessorResigned -> "the last leader resigned"
                    else -> "the lease was free"
                }
            journal.record(Decision("duty/$name", "acquired", rule, "", "fence ${outcome.revision}"))
        } else {
            store.revoke(granted)
        }
    }

    private suspend fun renew(current: LeaseHolding) {
        val currentLease = lease ?: return
        val requestedAtMillis = clock.monotonicMillis()
        store.keepAlive(currentLease).fold(
            success = { holding = current.renewed(requestedAtMillis) },
            failure = { error ->
                val lost = error is KeyValueError.LeaseExpired || !current.mayAct(clock.monotonicMillis())
                if (lost) drop(error.detail)
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

        /** The leader stops acting a quarter of the TTL before its lease expires. */
        private const val MARGIN_DIVISOR = 4
    }
}

private fun conditionOf(
    key: String,
    entry: KeyValueEntry?,
): Condition = if (entry == null) Condition.Absent(key) else Condition.Unchanged(key, entry.modRevision)
