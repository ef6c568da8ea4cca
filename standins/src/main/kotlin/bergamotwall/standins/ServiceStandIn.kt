package bergamotwall.standins

import bergamotwall.model.Jsons
import bergamotwall.model.ScoreRequest
import bergamotwall.model.TargetReport
import bergamotwall.runtime.aggregatedService
import bergamotwall.runtime.jsonResponse
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.Server
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import java.io.File
import java.util.UUID
import java.util.concurrent.atomic.AtomicInteger

/** Response of the service stand-in: the idempotency key of the call, and the instance that ran it. */
@Serializable
internal data class ServiceEcho(val key: String, val instance: String)

/**
 * Stand-in for a plain service: records each execution of a write, so that `verify` finds duplicates. Scores the sample
 * in a `POST` to [SCORE_PATH], which may run any number of times.
 */
public class ServiceStandIn(
    private val id: String,
    address: String,
    recordsFolder: File,
    private val workMillis: Long = DEFAULT_WORK_MILLIS,
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val records = RecordLog(File(recordsFolder, "service-$id.jsonl"), ServiceRun.serializer())
    private val running = AtomicInteger()
    private val bootId = UUID.randomUUID().toString()
    private val server: Server =
        serverAt(address) { builder ->
            builder.service("/admin/report") { _, _ -> jsonResponse(TargetReport.serializer(), report()) }
            builder.serviceUnder("/", aggregatedService(scope) { _, r -> handle(r) })
        }

    /** Port that the server listens on. */
    public val port: Int get() = server.activeLocalPort()

    override fun close() {
        server.stop().join()
        scope.cancel()
        records.close()
    }

    private fun report(): TargetReport = TargetReport(running = running.get(), slots = SLOTS, bootId = bootId)

    private suspend fun handle(request: AggregatedHttpRequest): HttpResponse {
        running.incrementAndGet()
        try {
            val key = request.headers().get("idempotency-key").orEmpty()
            val write = request.method() == HttpMethod.POST
            val scores = write && request.path() == SCORE_PATH
            if (write && !scores) records.add(ServiceRun(id, key, request.path(), System.currentTimeMillis()))
            delay(workMillis)
            if (scores) return HttpResponse.of(scoreOfText(sampleIn(request).text))
            val body = Jsons.wire.encodeToString(ServiceEcho.serializer(), ServiceEcho(key, id))
            return HttpResponse.of(HttpStatus.OK, MediaType.JSON_UTF_8, body)
        } finally {
            running.decrementAndGet()
        }
    }

    private fun sampleIn(request: AggregatedHttpRequest): ScoreRequest =
        Jsons.wire.decodeFromString(ScoreRequest.serializer(), request.contentUtf8())

    private companion object {
        private const val SCORE_PATH = "/score"
        private const val DEFAULT_WORK_MILLIS = 15L
        private const val SLOTS = 32
    }
}
