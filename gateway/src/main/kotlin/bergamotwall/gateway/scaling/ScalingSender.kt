package bergamotwall.gateway.scaling

import bergamotwall.gateway.duties.SentOrders
import bergamotwall.model.FencingNumber
import bergamotwall.runtime.Leadership
import kotlinx.coroutines.delay
import org.tinylog.Logger

/** Sends stored orders to the platform in one term of this process as the leader, with [fence]. Not thread-safe. */
internal class ScalingSender(
    private val dependencies: ScalingDependencies,
    private val settings: ScalingSettings,
    private val leadership: Leadership,
    private val calls: SentOrders,
    private val metrics: ScalingMetrics,
    val fence: FencingNumber,
) {
    private val clock = dependencies.clock
    private var silentSinceMillis: Long? = null

    /** For how long the API has not responded to this process. */
    val silentForMillis: Long get() = silentSinceMillis?.let { clock.monotonicMillis() - it } ?: 0

    /** Whether this process still leads, and may send. */
    fun mayAct(): Boolean = leadership.holding?.fence == fence && leadership.mayAct()

    /** Sends the pending [order] of [pool] once, and then pauses. */
    suspend fun send(
        order: TargetOrder,
        pool: OrderedPool,
    ) {
        val sentAtMillis = clock.monotonicMillis()
        val outcome =
            calls.send({ it.answered }) { dependencies.api.send(order, dependencies.node, fence) { mayAct() } }
        val nowMillis = clock.monotonicMillis()
        metrics.called(outcome)
        val silent = outcome == ScalingOutcome.UNKNOWN || outcome == ScalingOutcome.NOT_SENT
        silentSinceMillis = if (silent) silentSinceMillis ?: sentAtMillis else null
        when (outcome) {
            ScalingOutcome.ACCEPTED -> pool.accepted(nowMillis)
            ScalingOutcome.NONE_AVAILABLE -> pool.declined(nowMillis + settings.unavailableMillis)
            ScalingOutcome.REFUSED -> pool.declined(nowMillis + REFUSED_MILLIS)
            else -> pool.failed(nowMillis, dependencies.random)
        }
        Logger.info(
            "event=target_order_sent service={} dataCentre={} spot={} desired={} outcome={} failed={} fence={}",
            order.service.value,
            order.pool.dataCentre.value,
            order.pool.spot,
            order.desired,
            outcome,
            pool.attempts,
            fence.value,
        )
        delay(settings.callPauseMillis)
    }

    private companion object {
        /** An order that is not accepted because of a mistake in the configuration or here is rarely repeated. */
        private const val REFUSED_MILLIS = 60_000L
    }
}
