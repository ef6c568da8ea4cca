package bergamotwall.controller

import bergamotwall.decisions.LeaseHolding
import bergamotwall.model.FencingNumber
import bergamotwall.model.NodeId
import bergamotwall.platform.Condition
import bergamotwall.platform.KeyValueError
import bergamotwall.platform.KeyValueStore
import bergamotwall.platform.LeaseId
import bergamotwall.platform.Transaction
import bergamotwall.platform.TransactionOutcome
import bergamotwall.platform.Write
import bergamotwall.runtime.Clock
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Journal
import bergamotwall.runtime.SharedKeys
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get

/**
 * One duty that at most one controller holds, by a lease in the key-value service. Not thread-safe.
 *
 * The fencing number is the revision at which the lease's key was created, so a later holder has a higher one. An
 * order may be sent only while [holding] says so, on this process's own monotonic clock.
 */
internal class Duty(
    val name: String,
    private val node: NodeId,
    private val store: KeyValueStore,
    private val clock: Clock,
    private val journal: Journal,
    private val ttlSeconds: Long,
) {
    private var lease: LeaseId? = null

    /** The lease as held, or null. */
    @Volatile
    var holding: LeaseHolding? = null
        private set

    /** Whether an order may be sent now. */
    fun mayAct(): Boolean = holding?.mayAct(clock.monotonicMillis()) ?: false

    /** Tries to get the duty, or to keep it. Call several times a lease time. */
    suspend fun step() {
        val current = holding
        when {
            current == null -> acquire()
            current.renewalDue(clock.monotonicMillis()) -> renew(current)
        }
    }

    /** Gives the duty up. */
    suspend fun release() {
        val held = lease ?: return
        drop("released")
        store.revoke(held)
    }

    private suspend fun acquire() {
        val free = store.get(SharedKeys.duty(name)).fold({ it == null }, { false })
        if (!free) return
        val requestedAtMillis = clock.monotonicMillis()
        val granted = store.grantLease(ttlSeconds).get() ?: return
        val put = Write.Put(SharedKeys.duty(name), node.value, granted)
        val transaction = Transaction(listOf(Condition.Absent(SharedKeys.duty(name))), listOf(put))
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
