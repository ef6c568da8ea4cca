package bergamotwall.gateway.usage

import bergamotwall.gateway.forwarding.CallerRequest
import bergamotwall.gateway.forwarding.ObservedExchange
import bergamotwall.gateway.http.ResponsePart
import bergamotwall.gateway.http.TargetExchange
import bergamotwall.runtime.Clock

/** Tells [recorder] when a run of [request], sent to a target at [sentAtMillis], starts. */
internal class ObservedRun(
    recorder: StartRecorder,
    private val clock: Clock,
    request: CallerRequest,
    private val streamed: Boolean,
    private val sentAtMillis: Long,
) {
    private val run = recorder.sent(request, sentAtMillis, streamed)

    /**
     * The target that ran the request has begun a response that is no stream. A target with a free slot begins to
     * process a request when it receives it.
     */
    fun responding() {
        if (!streamed) run.started(sentAtMillis)
    }

    /** Passes on the [exchange] of a stream whose head has arrived; its first bytes are those of the first event. */
    fun observe(exchange: TargetExchange): TargetExchange =
        ObservedExchange(exchange) { part ->
            if (part is ResponsePart.Body && part.bytes.isNotEmpty()) run.started(clock.monotonicMillis())
        }

    /** The attempt has ended, or its stream is passed on. */
    fun ended(): Unit = run.ended()
}
