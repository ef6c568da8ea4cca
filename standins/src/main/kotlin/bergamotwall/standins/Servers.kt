package bergamotwall.standins

import bergamotwall.model.NetworkAddress
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServerBuilder
import java.time.Duration

private const val QUIET_PERIOD_MILLIS = 100L
private const val STOP_TIMEOUT_MILLIS = 1_000L

/** Starts a server at [address], `host:port` (port 0 picks a free port), with [routes] and a health check. */
internal fun serverAt(
    address: String,
    routes: (ServerBuilder) -> Unit,
): Server {
    val builder =
        Server
            .builder()
            .http(NetworkAddress.ofServer(address).toSocketAddress())
            .requestTimeoutMillis(0)
            .maxRequestLength(0)
            .gracefulShutdownTimeout(Duration.ofMillis(QUIET_PERIOD_MILLIS), Duration.ofMillis(STOP_TIMEOUT_MILLIS))
            .service("/healthz") { _, _ -> com.linecorp.armeria.common.HttpResponse.of("ok") }
    routes(builder)
    return builder.build().also { it.start().join() }
}
