package bergamotwall.gateway.targets

import bergamotwall.decisions.admission.RateShare
import bergamotwall.gateway.GatewayState
import bergamotwall.model.NodeId
import bergamotwall.model.TargetId
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Journal

/**
 * Request limits that targets name, and what process [self] may send within its parts of them. Everything that sends
 * requests to targets asks here first and charges what it sends. Thread-safe.
 */
public class TargetLimits(
    self: NodeId,
    gatewayState: GatewayState,
    private val loads: TargetLoads,
    private val journal: Journal,
) {
    private val shares = LimitShares(self, gatewayState)

    /** Number of requests of [purpose] that may be sent to [target] at [nowMillis]. */
    public fun admitted(
        target: Target,
        purpose: SendPurpose,
        nowMillis: Long,
    ): Int = shareOf(target, purpose)?.let { limitOf(target.id).admitted(it, nowMillis) } ?: Int.MAX_VALUE

    /** Charges a request of [purpose], which is sent to [target] at [nowMillis], to the target's limit. */
    public fun charge(
        target: Target,
        purpose: SendPurpose,
        nowMillis: Long,
    ) {
        shareOf(target, purpose)?.let { limitOf(target.id).sent(it, nowMillis) }
    }

    /** Time from [nowMillis] until a request may be sent to one of [targets]; 0 if one may be sent now. */
    public fun waitMillis(
        targets: Collection<Target>,
        nowMillis: Long,
    ): Long =
        targets.minOfOrNull { target ->
            shareOf(target, SendPurpose.REQUEST)?.let { limitOf(target.id).waitMillis(it, nowMillis) } ?: 0
        } ?: 0

    /** The limit of [target] for requests of [purpose], null if it names none. Changes no state. */
    internal fun view(
        target: Target,
        purpose: SendPurpose,
        nowMillis: Long,
    ): LimitView? = loads.find(target.id)?.limit?.view(nowMillis) { shares.compute(target, it, purpose) }

    /**
     * Records that [target]'s response to a request sent at [sentAtMillis], received at [nowMillis], names a limit of
     * [perSecond] requests a second, or none.
     */
    public fun reported(
        target: Target,
        perSecond: Double?,
        sentAtMillis: Long,
        nowMillis: Long,
    ): Unit = change(target.id, "named by the target") { it.reported(perSecond, sentAtMillis, nowMillis) }

    /** Applies the limit of [target] that another process has shared, null if it was lifted. */
    public fun shared(
        target: TargetId,
        perSecond: Double?,
        nowMillis: Long,
    ): Unit = change(target, "shared by another process") { it.shared(perSecond, nowMillis) }

    private fun change(
        target: TargetId,
        rule: String,
        update: (TargetLimit) -> Unit,
    ) {
        val limit = limitOf(target)
        val before = limit.perSecond
        update(limit)
        val after = limit.perSecond
        if (before == after) return
        journal.record(
            Decision(
                subject = "target/${target.value}",
                decision = if (after == null) "request limit lifted" else "request limit $after per s",
                rule = rule,
                cause = "before: $before per s",
            ),
        )
    }

    private fun shareOf(
        target: Target,
        purpose: SendPurpose,
    ): RateShare? = limitOf(target.id).perSecond?.let { shares.of(target, it, purpose) }

    private fun limitOf(target: TargetId): TargetLimit = loads.of(target).limit
}
