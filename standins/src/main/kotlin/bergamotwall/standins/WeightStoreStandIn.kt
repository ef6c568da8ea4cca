package bergamotwall.standins

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.Server
import java.time.Duration
import java.util.concurrent.atomic.AtomicInteger

/** Stand-in for the weight store: serves [maxLoads] loads at once, each in [loadMillis], and refuses more with 429. */
public class WeightStoreStandIn(
    address: String,
    private val maxLoads: Int,
    private val loadMillis: Long
) : AutoCloseable {
    private val loading = AtomicInteger()
    private val server: Server =
        serverAt(address) { builder -> builder.service("/v1/models/{model}/versions/{version}") { _, _ -> load() } }

    /** Port that the server listens on. */
    public val port: Int get() = server.activeLocalPort()

    override fun close() {
        server.stop().join()
    }

    private fun load(): HttpResponse {
        if (loading.incrementAndGet() > maxLoads) {
            loading.decrementAndGet()
            return HttpResponse.of(HttpStatus.TOO_MANY_REQUESTS)
        }
        val response = HttpResponse.delayed(HttpResponse.of(HttpStatus.OK), Duration.ofMillis(loadMillis))
        response.whenComplete().handle { _, _ -> loading.decrementAndGet() }
        return response
    }
}
