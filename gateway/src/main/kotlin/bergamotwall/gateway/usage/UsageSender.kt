package bergamotwall.gateway.usage

import bergamotwall.gateway.duties.SentOrders
import bergamotwall.runtime.Leadership
import org.tinylog.Logger

/** Sends the decided reports to the platform, one at a time, until they are accepted. Not thread-safe. */
internal class UsageSender(
    private val dependencies: UsageDependencies,
    private val leadership: Leadership,
    private val calls: SentOrders,
    private val metrics: UsageMetrics,
) {
    private val clock = dependencies.clock

    /** When the first of the calls without a response since the last response was sent; null if there is none. */
    private var silentSinceMillis: Long? = null

    /** For how long the API has not responded to this process. */
    val silentForMillis: Long get() = silentSinceMillis?.let { clock.monotonicMillis() - it } ?: 0

    /** A new term of this process as the leader begins. */
    fun termBegins() {
        silentSinceMillis = null
    }

    /** Sends the reports of [leader] whose time has come, as long as this process may act. */
    suspend fun sendAll(leader: UsageLeader) {
        while (true) {
            val holding = leadership.holding
            val report =
                leader.unsent.next(clock.monotonicMillis(), leader.fleetMillis)
                    ?.takeIf { holding?.fence == leader.fence && leadership.mayAct() } ?: return
            send(leader, report)
        }
    }

    private suspend fun send(
        leader: UsageLeader,
        report: UsageReport,
    ) {
        val sentAtMillis = clock.monotonicMillis()
        val outcome =
            calls.send({ it.answered }) {
                dependencies.driver.api.send(report, dependencies.node, leader.fence) {
                    leadership.holding?.fence == leader.fence && leadership.mayAct()
                }
            }
        metrics.sent(outcome)
        val silent = outcome == UsageOutcome.UNKNOWN || outcome == UsageOutcome.NOT_SENT
        silentSinceMillis = if (silent) silentSinceMillis ?: sentAtMillis else null
        if (outcome == UsageOutcome.ACCEPTED || outcome == UsageOutcome.REFUSED) {
            val attempts = leader.unsent.done(report) + 1
            Logger.info(
                "event=usage_report_ended window={} outcome={} attempts={} fence={}",
                report.window,
                outcome,
                attempts,
                leader.fence.value,
            )
        } else {
            leader.unsent.failed(report, clock.monotonicMillis())
            Logger.warn("event=usage_report_not_accepted window={} outcome={}", report.window, outcome)
        }
    }
}
