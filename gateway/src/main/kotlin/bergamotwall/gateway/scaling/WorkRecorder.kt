package bergamotwall.gateway.scaling

import bergamotwall.decisions.Ewma
import bergamotwall.gateway.forwarding.ObservedExchange
import bergamotwall.gateway.http.ResponsePart
import bergamotwall.gateway.http.TargetExchange
import bergamotwall.model.ServiceName
import bergamotwall.runtime.Clock

/** What this process does at the targets of a service. [refused] counts since the start. */
internal data class RecordedWork(val running: Int, val refused: Long, val requestMillis: Long, val itemMillis: Long)

/**
 * Records requests at targets, those that found no target, and how long requests and items take; nothing unless
 * [enabled]. Thread-safe.
 */
public class WorkRecorder(private val clock: Clock, private val enabled: Boolean = false) {
    private class Service {
        val runs = HashSet<Run>()
        var refused = 0L
        val requestMillis = Ewma(SAMPLE_WEIGHT)
        val itemMillis = Ewma(SAMPLE_WEIGHT)
    }

    private val services = HashMap<ServiceName, Service>()

    /** A request was sent to a target of [service] at [sentAtMillis]; it ends by [deadlineAtMillis]. */
    internal fun sent(
        service: ServiceName,
        sentAtMillis: Long,
        deadlineAtMillis: Long,
    ): Run = Run(service, sentAtMillis, deadlineAtMillis).also { run -> update(service) { runs += run } }

    /** A request could not be sent, as no target of [service] was free. */
    internal fun refused(service: ServiceName): Unit = update(service) { refused++ }

    /** An item ran at a target of [service] from its start to its end in [millis]. */
    internal fun itemCompleted(
        service: ServiceName,
        millis: Long,
    ): Unit = update(service) { itemMillis.add(millis.toDouble()) }

    /** The work by service. */
    @Synchronized
    internal fun read(): Map<ServiceName, RecordedWork> {
        val nowMillis = clock.monotonicMillis()
        return services.mapValues { (_, service) ->
            // A run whose end nobody observed must not count as load for ever.
            service.runs.removeIf { it.deadlineAtMillis + MARGIN_MILLIS < nowMillis }
            RecordedWork(
                service.runs.size,
                service.refused,
                service.requestMillis.value.toLong(),
                service.itemMillis.value.toLong(),
            )
        }
    }

    private fun update(
        service: ServiceName,
        change: Service.() -> Unit,
    ) {
        if (enabled) synchronized(this) { services.getOrPut(service) { Service() }.change() }
    }

    /** A request at a target. */
    internal inner class Run(
        private val service: ServiceName,
        private val sentAtMillis: Long,
        val deadlineAtMillis: Long,
    ) {
        /** The run has ended; [completed]: with a complete response. Only the first call counts. */
        fun ended(completed: Boolean) {
            val tookMillis = clock.monotonicMillis() - sentAtMillis
            update(service) { if (runs.remove(this@Run) && completed) requestMillis.add(tookMillis.toDouble()) }
        }

        /** Passes on the [exchange] of a stream, whose end is that of the run. */
        fun observe(exchange: TargetExchange): TargetExchange {
            val observed =
                ObservedExchange(exchange) { part ->
                    if (part is ResponsePart.End || part is ResponsePart.Broken) ended(part is ResponsePart.End)
                }
            return object : TargetExchange by observed {
                override fun cancel() {
                    ended(completed = false)
                    observed.cancel()
                }
            }
        }
    }

    private companion object {
        /** About the last twenty runs count. */
        private const val SAMPLE_WEIGHT = 0.1

        private const val MARGIN_MILLIS = 1_000L
    }
}
