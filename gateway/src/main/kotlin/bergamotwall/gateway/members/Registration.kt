package bergamotwall.gateway.members

import bergamotwall.drivers.Condition
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.LeaseId
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.drivers.Write
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.model.Jsons
import bergamotwall.runtime.Clock
import bergamotwall.runtime.launchSupervised
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.Logger

/**
 * Registers this process in the key-value service under a lease and renews the lease. Registers again if the lease has
 * expired or the registration is gone.
 *
 * A write that received no response may take effect later. Each write is therefore conditional on the revision that the
 * key had before it, so that it can't replace a later one, and all writes use the same lease until that has ended, so
 * that the registration never depends on a lease that is not renewed.
 *
 * [isMissing] tells whether the registered processes were read after a moment on the monotonic clock, and this one is
 * not among them.
 */
public class Registration(
    private val store: KeyValueStore,
    private val clock: Clock,
    private val ttlSeconds: Long,
    private val isMissing: (Long) -> Boolean = { false },
    private val self: () -> GatewayMember,
) : RegistrationFence {
    private class Confirmed(val member: GatewayMember, val revision: Long, val atMillis: Long)

    private val key by lazy { GatewayKeys.member(self().id) }
    private var lease: LeaseId? = null

    /** Revision of the key when it was last seen, 0 if it did not exist. */
    private var seenRevision = 0L

    /** The last write, null if it is not known to be in the service. */
    @Volatile
    private var confirmed: Confirmed? = null
    private val changes = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    private var ended = false

    private val missing: Boolean get() = confirmed?.let { isMissing(it.atMillis) } ?: false

    override val condition: Condition.Unchanged?
        get() = confirmed?.takeIf { it.member.ready && !ended }?.let { Condition.Unchanged(key, it.revision) }

    /** Starts to register and to renew the registration in [scope]. */
    public fun start(scope: CoroutineScope): Job =
        scope.launchSupervised("registration") {
            while (!ended) {
                step()
                val pauseMillis =
                    if (confirmed == null) RETRY_MILLIS else ttlSeconds * MILLIS_PER_SECOND / RENEWALS_PER_TTL
                withTimeoutOrNull(pauseMillis) { changes.receive() }
            }
        }

    /** Notifies that the value returned by [self], or the registered processes, may have changed. */
    public fun changed() {
        if (self() != confirmed?.member || missing) changes.trySend(Unit)
    }

    override fun declined(
        condition: Condition.Unchanged,
        read: List<KeyValueEntry>,
    ) {
        if (read.any { it.key == condition.key && it.modRevision == condition.modRevision }) return
        // The registration may have been written again since.
        if (confirmed?.revision == condition.modRevision) confirmed = null
        changes.trySend(Unit)
    }

    /** Removes the registration permanently, so that other processes notice immediately. */
    public suspend fun end() {
        ended = true
        val currentLease = lease ?: return
        lease = null
        store.revoke(currentLease)
    }

    /** Renews the lease, and writes the registration if it has changed or is gone. */
    public suspend fun step() {
        val current = lease
        if (current != null) renew(current)
        if (missing) confirmed = null
        val renewed = lease
        when {
            ended -> Unit
            renewed == null -> register()
            confirmed?.member != self() -> write(renewed)
        }
    }

    private suspend fun renew(current: LeaseId) {
        store.keepAlive(current).fold(
            success = { },
            failure = { error ->
                Logger.warn("event=registration_not_renewed cause=\"{}\"", error.detail)
                if (error is KeyValueError.LeaseExpired) leaseEnded()
            },
        )
    }

    private suspend fun register() {
        val granted =
            store.grantLease(ttlSeconds).getOrElse {
                Logger.warn("event=registration_failed cause=\"{}\"", it.detail)
                return
            }
        lease = granted
        write(granted)
        // end() was called while the registration was being written.
        if (ended) end()
    }

    private suspend fun write(currentLease: LeaseId) {
        // Another write was carried out late, or an earlier incarnation is still registered.
        if (!writeOnce(currentLease)) writeOnce(currentLease)
    }

    /** Returns false if the key had changed, so that the write can be repeated at once. */
    private suspend fun writeOnce(currentLease: LeaseId): Boolean {
        val member = self()
        confirmed = null
        val value = Jsons.wire.encodeToString(GatewayMember.serializer(), member)
        val expected = Condition.Unchanged(key, seenRevision)
        val transaction = Transaction(listOf(expected), listOf(Write.Put(key, value, currentLease)), listOf(key))
        return store.commit(transaction).fold(
            success = { outcome ->
                when (outcome) {
                    is TransactionOutcome.Committed -> {
                        seenRevision = outcome.revision
                        confirmed = Confirmed(member, outcome.revision, clock.monotonicMillis())
                        Logger.info("event=registered ready={} incarnation={}", member.ready, member.incarnation)
                    }
                    is TransactionOutcome.Declined ->
                        seenRevision = outcome.read.firstOrNull { it.key == key }?.modRevision ?: 0
                }
                outcome is TransactionOutcome.Committed
            },
            failure = { error ->
                Logger.warn("event=registration_failed cause=\"{}\"", error.detail)
                if (error is KeyValueError.LeaseExpired) leaseEnded()
                true
            },
        )
    }

    /** The key is removed with the lease. */
    private fun leaseEnded() {
        lease = null
        confirmed = null
        seenRevision = 0
    }

    private companion object {
        private const val MILLIS_PER_SECOND = 1_000L

        /** Two renewals may be lost before the lease expires. */
        private const val RENEWALS_PER_TTL = 3

        /** Short, because a process is not used before it is registered. */
        private const val RETRY_MILLIS = 250L
    }
}
