package bergamotwall.gateway.relays

import bergamotwall.gateway.GatewayState
import bergamotwall.gateway.http.Header
import bergamotwall.gateway.http.ResponsePart
import bergamotwall.gateway.http.TargetExchange
import bergamotwall.gateway.http.TargetRequest
import bergamotwall.gateway.http.isHopByHop
import bergamotwall.gateway.http.streamedResponse
import bergamotwall.gateway.targets.TargetLoad
import bergamotwall.gateway.targets.TargetLoads
import bergamotwall.runtime.Clock
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.future.await
import kotlinx.coroutines.future.future
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Sends requests to targets on behalf of peers that have no path to them. It decides nothing: the peer has chosen the
 * target, and counts the attempt. A request goes to a registered target over the path of this process, or not at all.
 */
public class TargetRelay internal constructor(
    private val client: RelayedTargetClient,
    private val loads: TargetLoads,
    private val gatewayState: GatewayState,
    private val clock: Clock,
    private val scope: CoroutineScope,
) : HttpService {
    override fun serve(
        context: ServiceRequestContext,
        request: HttpRequest,
    ): HttpResponse {
        val response = scope.future { relay(request.aggregate().await()) }
        context.whenRequestCancelling().thenAccept { response.cancel(true) }
        return HttpResponse.of(response)
    }

    private suspend fun relay(request: AggregatedHttpRequest): HttpResponse {
        val address = request.headers().get(RelayHeaders.TARGET)
        val target = gatewayState.targets.read().targets.values.firstOrNull { it.address == address }
        val exchange = target?.let { client.sendDirectly(it.address, requestOf(request)) }
        return if (target == null || exchange == null) {
            outcome(RelayHeaders.NOT_RUN)
        } else {
            val load = loads.of(target.id)
            load.sent(clock.monotonicMillis())
            respond(target.address, LoadedExchange(exchange, load))
        }
    }

    private suspend fun respond(
        address: String,
        exchange: TargetExchange,
    ): HttpResponse {
        var streaming = false
        try {
            val first = exchange.next()
            if (first is ResponsePart.Broken && first.unreachable) client.directFailed(address, first.reason)
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

    private fun outcomeOf(part: ResponsePart.Broken): String =
        when {
            !part.mayHaveRun -> RelayHeaders.NOT_RUN
            part.disconnected -> RelayHeaders.DISCONNECTED
            else -> RelayHeaders.UNKNOWN
        }

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
        val identity = received.get(RelayHeaders.IDENTITY)?.let { name -> received.get(name)?.let { Header(name, it) } }
        return TargetRequest(
            method = request.method().name,
            path = request.path(),
            headers = headers,
            body = request.content().array(),
            identity = identity,
            repeatable = received.get(RelayHeaders.REPEATABLE) != null,
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
