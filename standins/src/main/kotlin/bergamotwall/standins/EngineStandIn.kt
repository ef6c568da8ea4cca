package bergamotwall.standins

import bergamotwall.drivers.http.CompletionCall
import bergamotwall.drivers.http.CompletionChoice
import bergamotwall.drivers.http.CompletionEvent
import bergamotwall.model.FencingNumber
import bergamotwall.model.Jsons
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.TargetReport
import bergamotwall.model.WeightOrder
import bergamotwall.model.WeightVersion
import bergamotwall.runtime.aggregatedService
import bergamotwall.runtime.jsonResponse
import bergamotwall.runtime.problemResponse
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import java.util.UUID
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random

/**
 * Stand-in for a model engine: batches up to its slots in order of arrival, knows no priorities, caches prefixes,
 * reports with a lag, swaps weights on order while running requests go on and end with the new version.
 */
public class EngineStandIn(private val options: EngineOptions, private val onCrash: CrashAction) : AutoCloseable {
    private val model =
        EngineModel(
            slots = options.slots,
            tokenMillis = options.tokenMillis,
            prefillMillis = options.prefillMillis,
            seed = options.seed,
            medianTokens = options.medianTokens,
            tailSigma = options.tailSigma,
        )
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val batch = Semaphore(options.slots)
    private val running = AtomicInteger()
    private val decoding = AtomicInteger()
    private val version = AtomicReference(WeightVersion(0))
    private val swappingTo = AtomicReference<WeightVersion?>(null)
    private val highestFence = AtomicReference(FencingNumber(0))
    private val lagged = AtomicReference(TargetReport())
    private val bootId = UUID.randomUUID().toString()
    private val cache = PrefixCache()
    private val faults: Random = model.random()
    private val server: Server

    /** Tokens decoded so far, and those of requests that were cancelled. */
    public val decoded: AtomicLong = AtomicLong()

    /** Factor on all times; above 1 makes a slow replica. */
    @Volatile
    public var slowness: Double = 1.0

    init {
        server = serverAt(options.address) { routes(it) }
        scope.launch {
            while (true) {
                val seen = report()
                delay(options.reportLagMillis)
                lagged.set(seen)
            }
        }
        lagged.set(report())
    }

    /** Port that it listens on. */
    public val port: Int get() = server.activeLocalPort()

    override fun close() {
        scope.cancel()
        server.stop().join()
    }

    private fun routes(builder: ServerBuilder) {
        builder.route().post("/v1/completions").build(aggregatedService(scope) { c, r -> complete(c, r) })
        builder.route().post("/admin/weights").build(aggregatedService(scope) { _, r -> order(r) })
        builder.service("/admin/report") { _, _ -> jsonResponse(TargetReport.serializer(), lagged.get()) }
    }

    private fun report(): TargetReport {
        val events = cache.events()
        return TargetReport(
            version = version.get(),
            swappingTo = swappingTo.get(),
            running = running.get(),
            slots = options.slots,
            bootId = bootId,
            cachedPrefixes = events,
            cacheSequence = cache.sequence,
        )
    }

    private fun complete(
        context: ServiceRequestContext,
        request: AggregatedHttpRequest,
    ): HttpResponse {
        val call = Jsons.wire.decodeFromString(CompletionCall.serializer(), request.contentUtf8())
        if (swappingTo.get() != null) return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE)
        val writer = HttpResponse.streaming()
        writer.tryWrite(ResponseHeaders.builder(HttpStatus.OK).contentType(MediaType.EVENT_STREAM).build())
        val job = scope.launch { generate(call, writer) }
        context.whenRequestCancelling().thenAccept { job.cancel() }
        return writer
    }

    private suspend fun generate(
        call: CompletionCall,
        writer: HttpResponseWriter,
    ) {
        running.incrementAndGet()
        try {
            batch.withPermit { decode(call, writer) }
        } finally {
            running.decrementAndGet()
        }
    }

    private suspend fun decode(
        call: CompletionCall,
        writer: HttpResponseWriter,
    ) {
        decoding.incrementAndGet()
        try {
            delay((model.prefill(cache.hit(call.prompt)) * slowness).toLong())
            if (options.crashWord in call.prompt) onCrash.crash()
            val done = TokenText.count(call.resumeFrom)
            val length = model.length(call.prompt, call.requestId, call.maxTokens + done)
            var debtMillis = 0.0
            for (index in done until maxOf(length, done + 1)) {
                debtMillis += model.stepMillis(decoding.get()) * slowness
                if (debtMillis >= 1) {
                    delay(debtMillis.toLong())
                    debtMillis -= debtMillis.toLong()
                }
                val last = index >= length - 1
                emit(writer, TokenText.token(call.prompt, index, version.get(), last), last)
            }
            writer.tryWrite(HttpData.ofUtf8("data: [DONE]\n\n"))
            writer.close()
        } finally {
            decoding.decrementAndGet()
        }
    }

    private suspend fun emit(
        writer: HttpResponseWriter,
        text: String,
        last: Boolean,
    ) {
        decoded.incrementAndGet()
        val choice = CompletionChoice(text, if (last) "stop" else null)
        val event = CompletionEvent(listOf(choice), 1, WeightVersion(TokenText.versions(text).first()))
        writer.tryWrite(HttpData.ofUtf8("data: ${Jsons.wire.encodeToString(CompletionEvent.serializer(), event)}\n\n"))
        val consumed = writer.whenConsumed().handle { _, error -> error == null }.await()
        if (!consumed) currentCoroutineContext().cancel()
    }

    private fun order(request: AggregatedHttpRequest): HttpResponse {
        val order = Jsons.wire.decodeFromString(WeightOrder.serializer(), request.contentUtf8())
        val highest = highestFence.accumulateAndGet(order.fence) { a, b -> maxOf(a, b) }
        if (options.checksFencing && order.fence < highest) {
            return problemResponse(Problem(ProblemKind.CONFLICT, "fencing number ${order.fence.value} is old"))
        }
        val start = order.version != version.get() && swappingTo.compareAndSet(null, order.version)
        if (start) scope.launch { swap(order.version) }
        return HttpResponse.of(HttpStatus.OK)
    }

    private suspend fun swap(to: WeightVersion) {
        while (!loaded(to)) delay(LOAD_RETRY_MILLIS)
        delay(options.swapMillis)
        if (faults.nextInt(PERCENT) >= options.swapFailPercent) version.set(to)
        swappingTo.set(null)
    }

    private suspend fun loaded(version: WeightVersion): Boolean {
        val address = options.weightStoreAddress ?: return true
        val path = "/v1/models/${options.model}/versions/${version.value}"
        val answer = WebClient.of("http://$address").get(path).aggregate()
        return answer.handle { response, error -> error == null && response.status() == HttpStatus.OK }.await()
    }

    private companion object {
        private const val LOAD_RETRY_MILLIS = 100L
        private const val PERCENT = 100
    }
}
