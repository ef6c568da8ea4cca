package bergamotwall.gateway.relays

import bergamotwall.gateway.http.Header
import bergamotwall.gateway.http.ResponsePart
import bergamotwall.gateway.http.TargetExchange
import bergamotwall.gateway.http.TargetRequest
import bergamotwall.gateway.http.isHopByHop
import bergamotwall.gateway.http.streamedResponse
import bergamotwall.gateway.http.withRawPath
import bergamotwall.gateway.intake.readWhole
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetDependencies
import bergamotwall.gateway.targets.TargetLoad
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.future.future
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Sends requests to targets on behalf of peers that have no path to them. It decides nothing: the peer has chosen the
 * target, and counts the attempt. A request goes to a registered target that is not leaving, over the path of this
 * process, or not at all. Nothing is relayed unless [accepts]: other peers outlast what a leaving process may cut off.
 */
public class TargetRelay internal constructor(
    private val client: RelayedTargetClient,
    private val dependencies: TargetDependencies,
    private val scope: CoroutineScope,
    private val accepts: () -> Boolean,
) : HttpService {
    override fun serve(
        context: ServiceRequestContext,
        request: HttpRequest,
    ): HttpResponse {
        val response =
            scope.future { request.readWhole().withRawPath(context)?.let { relay(it) } ?: notRun() }
        context.whenRequestCancelling().thenAccept { response.cancel(true) }
        return HttpResponse.of(response)
    }

    private suspend fun relay(request: AggregatedHttpRequest): HttpResponse {
        val address = request.headers().get(RelayHeaders.TARGET)
        val list = dependencies.gatewayState.targets.read()
        val target = list.targets.values.firstOrNull { accepts() && it.address == address && !list.isLeaving(it) }
        val exchange = target?.let { client.sendDirectly(it.address, requestOf(request)) }
        return if (target == null || exchange == null) {
            notRun()
        } else {
            val load = dependencies.loads.of(target.id)
            load.sent(dependencies.clock.monotonicMillis())
            respond(target, limited(LoadedExchange(exchange, load), request), request)
        }
    }

    private fun limited(
        exchange: TargetExchange,
        request: AggregatedHttpRequest,
    ): TargetExchange =
        request.headers().getLong(RelayHeaders.MAX_SILENCE_MILLIS)?.let { SilenceLimitedExchange(exchange, it) }
            ?: exchange

    private suspend fun respond(
        target: Target,
        exchange: TargetExchange,
        request: AggregatedHttpRequest,
    ): HttpResponse {
        var streaming = false
        try {
            val first = exchange.next()
            if (first is ResponsePart.Broken && first.unreachable) client.directFailed(target.address, first.reason)
            if (first is ResponsePart.Head) observe(target, first, request)
            streaming = first is ResponsePart.Head
            return when (first) {
                is ResponsePart.Head -> streamedResponse(first, exchange, scope)
                is ResponsePart.Broken -> outcome(outcomeOf(first))
                else -> outcome(RelayHeaders.UNKNOWN)
            }
        } finally {
            if (!streaming) exchange.cancel()
        }
    }

    private fun observe(
        target: Target,
        head: ResponsePart.Head,
        request: AggregatedHttpRequest,
    ) {
        val metadata = dependencies.protocol.read(head)
        if (metadata.signed && metadata.leaving) {
            dependencies.departures.announced(target, identityOf(request)?.value.orEmpty())
        }
    }

    private fun identityOf(request: AggregatedHttpRequest): Header? =
        request.headers().get(RelayHeaders.IDENTITY)?.let { name ->
            request.headers().get(name)?.let { Header(name, it) }
        }

    private fun outcomeOf(part: ResponsePart.Broken): String =
        when {
            !part.mayHaveRun -> RelayHeaders.NOT_RUN
            part.disconnected -> RelayHeaders.DISCONNECTED
            else -> RelayHeaders.UNKNOWN
        }

    private fun notRun(): HttpResponse = outcome(RelayHeaders.NOT_RUN)

    private fun outcome(value: String): HttpResponse =
        HttpResponse.of(ResponseHeaders.builder(HttpStatus.BAD_GATEWAY).add(RelayHeaders.OUTCOME, value).build())

    private fun requestOf(request: AggregatedHttpRequest): TargetRequest {
        val received = request.headers()
        val headers = ArrayList<Header>()
        request.authority()?.let { headers += Header("Host", it) }
        received.forEach { name, value ->
            val text = name.toString()
            val skip = text.startsWith(":") || text == "host" || isHopByHop(text) || RelayHeaders.contains(text)
            if (!skip) headers += Header(text, value)
        }
        return TargetRequest(
            method = request.method().name,
            path = request.path(),
            headers = headers,
            body = request.content().array(),
            identity = identityOf(request),
            repeatable = received.get(RelayHeaders.REPEATABLE) != null,
            maxSilenceMillis = received.getLong(RelayHeaders.MAX_SILENCE_MILLIS),
        )
    }

    /** Counts [exchange] as a request in flight until it is cancelled, which it always is. */
    private class LoadedExchange(
        private val exchange: TargetExchange,
        private val load: TargetLoad,
    ) : TargetExchange by exchange {
        private val ended = AtomicBoolean()

        override fun cancel() {
            if (ended.compareAndSet(false, true)) load.ended()
            exchange.cancel()
        }
    }
}
