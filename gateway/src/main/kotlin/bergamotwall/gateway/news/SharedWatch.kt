package bergamotwall.gateway.news

import bergamotwall.decisions.membership.FollowerTrust
import bergamotwall.decisions.membership.QuietRevision
import bergamotwall.drivers.KeyValueListing
import bergamotwall.gateway.members.GatewayMember
import bergamotwall.model.NodeId
import bergamotwall.runtime.Clock
import bergamotwall.runtime.ClockReading
import bergamotwall.runtime.read
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import io.prometheus.metrics.core.metrics.Counter
import org.tinylog.Logger
import java.util.concurrent.atomic.AtomicLong

/** State of the shared watch on [prefix] at this process. Used by one watch at a time. */
internal class SharedWatch(
    val prefix: String,
    private val clock: Clock,
    private val failures: Counter,
) {
    val copy = PrefixCopy()

    /** Where polls of the service begin while the prefix is quiet and this process watches for others. */
    val quiet = QuietRevision()
    private val trust = FollowerTrust(FIRST_AVOID_MILLIS, MAX_AVOID_MILLIS)
    private var lost: NodeId? = null
    private val urgentAtMillis = AtomicLong(Long.MIN_VALUE)
    private var unusedListing: NodeId? = null
    private var latestProof: ClockReading? = null

    /** The follower that sent the latest response, null if the service itself did. */
    @Volatile
    var source: NodeId? = null
        private set

    /** The followers to ask now, out of [order]. */
    fun usable(order: List<GatewayMember>): List<GatewayMember> {
        val ids = trust.usable(order.map { it.id }, clock.monotonicMillis()).toSet()
        return order.filter { it.id in ids }
    }

    /** Whether [follower] may be sent a long poll. */
    fun trusts(follower: GatewayMember): Boolean = trust.trusts(follower.id)

    /** Records that the response of [follower] was accepted, which was current at [proof]. */
    fun followed(
        follower: GatewayMember,
        proof: ClockReading,
    ) {
        trust.succeeded(follower.id)
        unusedListing = null
        proven(proof)
        if (source == follower.id) return
        val event = if (lost == follower.id) "follower_regained" else "follower_chosen"
        Logger.info("event={} prefix={} follower={}", event, prefix, follower.id.value)
        if (lost == follower.id) lost = null
        source = follower.id
    }

    /** Records that [follower] failed because of [cause]. */
    fun failed(
        follower: GatewayMember,
        cause: FollowerFailure,
    ) {
        trust.failed(follower.id, clock.monotonicMillis())
        val reason = cause.name.lowercase()
        failures.labelValues(reason).inc()
        if (source != follower.id && lost == follower.id) return
        lost = follower.id
        Logger.warn("event=follower_lost prefix={} follower={} cause={}", prefix, follower.id.value, reason)
    }

    /** Records the [listing] that [follower] sent. */
    fun listed(
        follower: GatewayMember,
        listing: KeyValueListing,
    ) {
        copy.listed(listing, null)
        unusedListing = follower.id
    }

    /**
     * Whether [response] says that the changes are gone, so that all entries must be listed. If [follower] has just
     * sent its listing, it contradicts itself, and the response is a failure. Later it may have listed again itself.
     */
    fun mustList(
        follower: GatewayMember,
        response: Result<*, FollowerFailure>,
    ): Boolean = response.getError() == FollowerFailure.HISTORY_GONE && follower.id != unusedListing

    /** Records that this process was current at [moment]. */
    fun proven(moment: ClockReading) {
        if (latestProof.let { it == null || it.monotonicMillis < moment.monotonicMillis }) latestProof = moment
    }

    /** Time since the latest proof that this process was current. */
    fun proofAgeMillis(): Long = latestProof?.millisUntil(clock.read()) ?: Long.MAX_VALUE

    /** Records that a reader polled that must learn of changes at once. */
    fun urgentReader(): Unit = urgentAtMillis.set(clock.monotonicMillis())

    /** Whether this process serves a reader that must learn of changes at once. */
    val hasUrgentReader: Boolean get() = clock.monotonicMillis() - READER_GONE_MILLIS < urgentAtMillis.get()

    /** Records that the service itself was asked. */
    fun bypassed() {
        trust.bypassed()
        source = null
    }

    private companion object {
        /** Several times the pauses and partitions that pass by themselves in a moment. */
        private const val FIRST_AVOID_MILLIS = 2_000L

        /** Longer than a reader's long poll. */
        private const val READER_GONE_MILLIS = 3_000L

        /** A follower that can't be reached for long, or does not know the messages, costs a call a minute. */
        private const val MAX_AVOID_MILLIS = 60_000L
    }
}
