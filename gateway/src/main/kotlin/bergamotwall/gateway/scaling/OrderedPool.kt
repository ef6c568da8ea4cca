package bergamotwall.gateway.scaling

import bergamotwall.decisions.admission.backoffMillis
import kotlin.random.Random

/** What the leader knows of the targets in a pool, of [spot] targets or not, and of its orders. Not thread-safe. */
internal class OrderedPool(private val spot: Boolean) {
    /** Targets that are registered and don't leave. */
    var registered = 0
        private set

    /** The number ordered last, by this leader or an earlier one; null if there was none. */
    var ordered: Int? = null
        private set

    /** Whether [ordered] is to be sent, or sent again. */
    var pending = false
        private set

    /** Calls of the pending order that were not accepted. */
    var attempts = 0
        private set
    private var acceptedAtMillis: Long? = null
    private var reclaimed = false
    private var fulfilled = false
    private var retryAtMillis = Long.MIN_VALUE
    private var closedUntilMillis = Long.MIN_VALUE

    /**
     * Sets how many targets are [registered] and don't leave, and whether others leave. An order is fulfilled once its
     * number was reached or passed, or the platform reclaims the targets: what is missing then was lost.
     */
    fun observe(
        registered: Int,
        hasLeaving: Boolean,
    ) {
        val before = this.registered
        this.registered = registered
        reclaimed = spot && hasLeaving
        val number = ordered ?: return
        if (reclaimed || number in minOf(before, registered)..maxOf(before, registered)) fulfilled = true
    }

    /** Targets that serve, or will: what was ordered, if that was accepted within [settleMillis], else [registered]. */
    fun present(
        nowMillis: Long,
        settleMillis: Long,
    ): Int {
        val settling = !fulfilled && acceptedAtMillis?.let { nowMillis < it + settleMillis } ?: false
        return ordered?.takeIf { settling } ?: registered
    }

    /** Whether nothing can be ordered here now. An order that did not yield its targets counts for [closedMillis]. */
    fun isClosed(
        nowMillis: Long,
        settleMillis: Long,
        closedMillis: Long,
    ): Boolean {
        val settledAtMillis = acceptedAtMillis?.plus(settleMillis)
        val failed = !fulfilled && settledAtMillis != null && registered < (ordered ?: 0) &&
            nowMillis in settledAtMillis..settledAtMillis + closedMillis
        return nowMillis < closedUntilMillis || reclaimed || failed
    }

    /** Whether the pending order may be sent at [nowMillis]. */
    fun isDue(nowMillis: Long): Boolean = !pending || nowMillis >= retryAtMillis

    /** An earlier leader ordered [number]; [mayBeUnsent]: it may not have sent that order, or not to the end. */
    fun restore(
        number: Int,
        mayBeUnsent: Boolean,
    ) {
        ordered = number
        pending = mayBeUnsent && number > registered
        fulfilled = !pending
    }

    /** The order of [number] is stored, and is to be sent. */
    fun stored(number: Int) {
        if (!pending || ordered != number) attempts = 0
        ordered = number
        pending = true
        fulfilled = false
        acceptedAtMillis = null
    }

    /** The pending order is not needed any more. */
    fun dropped() {
        pending = false
        fulfilled = true
    }

    /** The pending order was accepted at [nowMillis]. */
    fun accepted(nowMillis: Long) {
        pending = false
        acceptedAtMillis = nowMillis
        // A number that was reached for a moment before this call is no sign that the order was carried out.
        fulfilled = registered == ordered
    }

    /** The pending order was declined, and none is to be sent until [untilMillis]. */
    fun declined(untilMillis: Long) {
        dropped()
        closedUntilMillis = untilMillis
    }

    /** The pending order was not accepted at [nowMillis], and is to be sent again. */
    fun failed(
        nowMillis: Long,
        random: Random,
    ) {
        attempts++
        retryAtMillis = nowMillis + RETRY_MILLIS + backoffMillis(attempts + FIRST_BACKOFF, random)
    }

    private companion object {
        /** Shortest pause, and the step at which the backoff begins, so that a troubled platform gets few calls. */
        private const val RETRY_MILLIS = 500L
        private const val FIRST_BACKOFF = 4
    }
}
