package bergamotwall.gateway.members

import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.LeaseId
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.Write
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.model.Jsons
import bergamotwall.runtime.Clock
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.Logger

/**
 * Registers this process in the key-value service under a lease and renews it. A registration that lapsed is made anew.
 */
public class Registration(
    private val store: KeyValueStore,
    private val clock: Clock,
    private val ttlSeconds: Long,
    private val self: () -> GatewayMember,
) {
    private var lease: LeaseId? = null
    private var registered: GatewayMember? = null
    private val changes = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    private var ended = false

    /** When the service last confirmed the registration, on the monotonic clock. */
    @Volatile
    public var confirmedAtMillis: Long = Long.MIN_VALUE
        private set

    /** Keeps the registration in [scope]. */
    public fun start(scope: CoroutineScope): Job =
        scope.launch {
            while (!ended) {
                step()
                val pauseMillis = if (lease == null) RETRY_MILLIS else ttlSeconds * MILLIS_PER_SECOND / RENEWALS_PER_TTL
                withTimeoutOrNull(pauseMillis) { changes.receive() }
            }
        }

    /** Tells that what [self] returns has changed. */
    public fun changed() {
        changes.trySend(Unit)
    }

    /** Ends the registration for good, so that the others learn of it at once. */
    public suspend fun end() {
        ended = true
        val held = lease ?: return
        lease = null
        store.revoke(held)
    }

    /** Renews the registration, and writes it if it changed. */
    public suspend fun step() {
        val held = lease ?: return register()
        val askedAtMillis = clock.monotonicMillis()
        store.keepAlive(held).fold(
            success = { confirmedAtMillis = askedAtMillis },
            failure = { error ->
                Logger.warn("event=registration_not_renewed cause=\"{}\"", error.detail)
                if (error is KeyValueError.LeaseGone) lease = null
            },
        )
        if (lease != null && registered != self()) write(held)
    }

    private suspend fun register() {
        val granted =
            store.grantLease(ttlSeconds).getOrElse {
                Logger.warn("event=registration_failed cause=\"{}\"", it.detail)
                return
            }
        if (write(granted)) lease = granted
        // The end came while the registration was being made.
        if (ended) end()
    }

    private suspend fun write(under: LeaseId): Boolean {
        val member = self()
        val value = Jsons.wire.encodeToString(GatewayMember.serializer(), member)
        val askedAtMillis = clock.monotonicMillis()
        val put = Write.Put(GatewayKeys.member(member.id), value, under)
        return store.commit(Transaction(emptyList(), listOf(put)))
            .onSuccess {
                registered = member
                confirmedAtMillis = askedAtMillis
                Logger.info("event=registered ready={} incarnation={}", member.ready, member.incarnation)
            }.isOk
    }

    private companion object {
        private const val MILLIS_PER_SECOND = 1_000L

        /** Two renewals may be lost before the lease lapses. */
        private const val RENEWALS_PER_TTL = 3

        /** Registration is what makes a process usable, so it is tried again soon. */
        private const val RETRY_MILLIS = 250L
    }
}
