package bergamotwall.gateway.workspaces

import bergamotwall.gateway.GatewayMetrics
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Journal

/** Journal and metric of requests that are refused because of their keys. They never hold a key. */
public class KeyRefusals(private val journal: Journal, metrics: GatewayMetrics) {
    private val counter = metrics.counter("key_refusals", "Requests refused because of their keys.", "reason")

    /** Records that the request or batch [subject] was refused because of [refusal], given [inputs]. */
    public fun record(
        subject: String,
        refusal: KeyRefusal,
        inputs: String,
    ) {
        val reason = refusal.name.lowercase()
        counter.labelValues(reason).inc()
        journal.record(Decision(subject, "refused", "keys of workspaces", reason, inputs))
    }
}
