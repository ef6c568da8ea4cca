package bergamotwall.gateway.targets

import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.GatewayState
import bergamotwall.gateway.http.TargetClient
import bergamotwall.model.TargetId
import org.tinylog.Logger

/**
 * Records which targets are leaving, so that the [TargetList] offers them for no further request. Requests that are
 * running there are not affected. A target is known to be leaving from its registration, or from a signed response:
 * some never register it, and the key-value service may be unavailable. Thread-safe.
 */
public class Departures(
    private val gatewayState: GatewayState,
    private val client: TargetClient,
    metrics: GatewayMetrics,
) {
    private val found = metrics.counter("leaving_targets", "Targets found to be leaving, by what told it.", "source")

    /** Records that [target] has said so in its response to request [requestId]. */
    public fun announced(
        target: Target,
        requestId: String,
    ) {
        val before = gatewayState.targets.read()
        if (before.hasAnnounced(target)) return
        gatewayState.targets.update { it.withDeparture(target) }
        if (!wasLeaving(before, target)) found(target, "response", requestId)
    }

    /** Replaces the registered targets by [registered] at [nowMillis]. */
    public fun registered(
        registered: Map<TargetId, Target>,
        nowMillis: Long,
    ) {
        val before = gatewayState.targets.read()
        gatewayState.targets.update { it.next(registered, nowMillis) }
        registered.values.filter { it.draining && !wasLeaving(before, it) }.forEach { found(it, "registration", "") }
    }

    /** Whether the incarnation [target] was leaving, by its earlier registration, if any, or by a response. */
    private fun wasLeaving(
        before: TargetList,
        target: Target,
    ): Boolean {
        val earlier = before.targets[target.id]?.takeIf { it.startedAtMillis == target.startedAtMillis }
        return earlier?.draining == true || before.hasAnnounced(target)
    }

    private fun found(
        target: Target,
        source: String,
        requestId: String,
    ) {
        found.labelValues(source).inc()
        Logger.info(
            "event=target_leaving id={} address={} startedAtMillis={} source={} request={}",
            target.id.value,
            target.address,
            target.startedAtMillis,
            source,
            requestId,
        )
        client.retire(target.address)
    }
}
