package bergamotwall.gateway.members

import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.LeaseId
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.Write
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.model.Jsons
import bergamotwall.runtime.Clock
import bergamotwall.runtime.launchSupervised
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.Logger

/**
 * Registers this process in the key-value service under a lease and renews the lease. Registers again if it expired.
 */
public class Registration(
    private val store: KeyValueStore,
    private val clock: Clock,
    private val ttlSeconds: Long,
    private val self: () -> GatewayMember,
) {
    private var lease: LeaseId? = null

    @Volatile
    private var registered: GatewayMember? = null
    private val changes = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    private var ended = false

    /** When the last request that the service confirmed was sent, on the monotonic clock. */
    @Volatile
    public var confirmedAtMillis: Long = Long.MIN_VALUE
        private set

    /** Starts to register and to renew the registration in [scope]. */
    public fun start(scope: CoroutineScope): Job =
        scope.launchSupervised("registration") {
            while (!ended) {
                step()
                val pauseMillis = if (lease == null) RETRY_MILLIS else ttlSeconds * MILLIS_PER_SECOND / RENEWALS_PER_TTL
                withTimeoutOrNull(pauseMillis) { changes.receive() }
            }
        }

    /** Notifies that the value returned by [self] may have changed. If it has, the registration is written at once. */
    public fun changed() {
        if (self() != registered) changes.trySend(Unit)
    }

    /** Removes the registration permanently, so that other processes notice immediately. */
    public suspend fun end() {
        ended = true
        val currentLease = lease ?: return
        lease = null
        store.revoke(currentLease)
    }

    /** Renews the lease, and writes the registration if it has changed. */
    public suspend fun step() {
        val currentLease = lease ?: return register()
        val requestedAtMillis = clock.monotonicMillis()
        store.keepAlive(currentLease).fold(
            success = { confirmedAtMillis = requestedAtMillis },
            failure = { error ->
                Logger.warn("event=registration_not_renewed cause=\"{}\"", error.detail)
                if (error is KeyValueError.LeaseExpired) lease = null
            },
        )
        if (lease != null && registered != self()) write(currentLease)
    }

    private suspend fun register() {
        val granted =
            store.grantLease(ttlSeconds).getOrElse {
                Logger.warn("event=registration_failed cause=\"{}\"", it.detail)
                return
            }
        if (write(granted)) lease = granted
        // end() was called while the registration was being written.
        if (ended) end()
    }

    private suspend fun write(leaseId: LeaseId): Boolean {
        val member = self()
        val value = Jsons.wire.encodeToString(GatewayMember.serializer(), member)
        val requestedAtMillis = clock.monotonicMillis()
        val put = Write.Put(GatewayKeys.member(member.id), value, leaseId)
        return store.commit(Transaction(emptyList(), listOf(put)))
            .onSuccess {
                registered = member
                confirmedAtMillis = requestedAtMillis
                Logger.info("event=registered ready={} incarnation={}", member.ready, member.incarnation)
            }.isOk
    }

    private companion object {
        private const val MILLIS_PER_SECOND = 1_000L

        /** Two renewals may be lost before the lease expires. */
        private const val RENEWALS_PER_TTL = 3

        /** Short, because a process is not used before it is registered. */
        private const val RETRY_MILLIS = 250L
    }
}
