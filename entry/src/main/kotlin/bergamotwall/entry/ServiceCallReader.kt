package bergamotwall.entry

import bergamotwall.decisions.fingerprintOf
import bergamotwall.decisions.hashOf
import bergamotwall.drivers.ServiceRequest
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.RequestId
import bergamotwall.model.ServiceName
import bergamotwall.runtime.Node
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.binding
import com.github.michaelbull.result.toResultOr
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.MediaType
import java.util.UUID

/** Parses, authenticates and validates calls of plain services. */
internal class ServiceCallReader(private val node: Node, private val authenticator: Authenticator) {
    fun read(
        name: String,
        request: AggregatedHttpRequest,
    ): Result<ServiceCall, Problem> =
        binding {
            val headers = request.headers()
            val caller = authenticator.caller(headers).bind()
            val path = headers.path().removePrefix("/services/$name").ifEmpty { "/" }
            val intent =
                node.fleetState.configuration
                    .read()
                    .service(ServiceName(name))
                    .toResultOr { Problem(ProblemKind.NOT_FOUND, "service $name: no confirmed intent names it") }
                    .bind()
            val timeoutMillis = deadlineOf(headers, DEFAULT_DEADLINE_MILLIS).bind()
            val key = headers.get(KEY_HEADER) ?: UUID.randomUUID().toString()
            ServiceCall(
                id = RequestId(UUID.randomUUID().toString()),
                service = name,
                caller = caller,
                priorityClass = priorityOf(caller, headers).bind(),
                idempotent = request.method() in IDEMPOTENT || intent.repeatablePaths.any { path.startsWith(it) },
                key = receiptKey("${caller.name.value}/$name/$key"),
                fingerprint = fingerprintOf(name, "${request.method()} $path\n${request.contentUtf8()}"),
                request = serviceRequest(request, path, key, timeoutMillis),
                deadlineMillis = node.clock.monotonicMillis() + timeoutMillis,
            )
        }

    private fun serviceRequest(
        request: AggregatedHttpRequest,
        path: String,
        key: String,
        timeoutMillis: Long,
    ): ServiceRequest =
        ServiceRequest(
            method = request.method().name,
            path = path,
            contentType = request.contentType()?.toString() ?: MediaType.OCTET_STREAM.toString(),
            body = request.contentUtf8(),
            key = key,
            timeoutMillis = timeoutMillis,
            trace = request.headers().get(TRACE_HEADER),
        )

    /** Concatenates two 64-bit hashes to 128 bits, which makes a collision of two keys negligibly unlikely. */
    private fun receiptKey(scoped: String): String = hex(hashOf("1:$scoped")) + hex(hashOf("2:$scoped"))

    private fun hex(value: Long): String = java.lang.Long.toHexString(value).padStart(HEX_DIGITS, '0')

    private companion object {
        private val IDEMPOTENT =
            setOf(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.PUT, HttpMethod.DELETE, HttpMethod.OPTIONS)
        private const val DEFAULT_DEADLINE_MILLIS = 30_000L
        private const val HEX_DIGITS = 16
    }
}
