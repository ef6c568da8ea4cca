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
 * Stand-in for a model engine with continuous batching. Requests get a slot in order of arrival, without priorities;
 * prompt prefixes are cached; reports lag behind. During a swap to the weights of an order new requests are refused,
 * while running ones continue and get their later tokens from the new version.
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
    private val slots = Semaphore(options.slots)
    private val running = AtomicInteger()
    private val decoding = AtomicInteger()
    private val version = AtomicReference(WeightVersion(0))
    private val swappingTo = AtomicReference<WeightVersion?>(null)
    private val highestFencingToken = AtomicReference(FencingNumber(0))
    private val laggedReport = AtomicReference(TargetReport())
    private val bootId = UUID.randomUUID().toString()
    private val cache = PrefixCache()
    private val faultRandom: Random = model.random()
    private val server: Server

    /** Tokens decoded so far, including those of requests that were cancelled later. */
    public val decodedTokens: AtomicLong = AtomicLong()

    /** Factor on the times of prefill and decoding; above 1 simulates a slow replica. */
    @Volatile
    public var slowness: Double = 1.0

    init {
        server = serverAt(options.address) { routes(it) }
        scope.launch {
            while (true) {
                val current = report()
                delay(options.reportLagMillis)
                laggedReport.set(current)
            }
        }
        laggedReport.set(report())
    }

    /** Port that the server listens on. */
    public val port: Int get() = server.activeLocalPort()

    override fun close() {
        scope.cancel()
        server.stop().join()
    }

    private fun routes(builder: ServerBuilder) {
        builder.route().post("/v1/completions").build(aggregatedService(scope) { c, r -> complete(c, r) })
        builder.route().post("/admin/weights").build(aggregatedService(scope) { _, r -> handleOrder(r) })
        builder.service("/admin/report") { _, _ -> jsonResponse(TargetReport.serializer(), laggedReport.get()) }
    }

    private fun report(): TargetReport {
        val events = cache.takeEvents()
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
            slots.withPermit { decode(call, writer) }
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
            val resumedTokens = TokenText.count(call.resumeFrom)
            val length = model.length(call.prompt, call.requestId, call.maxTokens + resumedTokens)
            var dueMillis = 0.0 // fractions carry over, as delay() takes whole milliseconds
            for (index in resumedTokens until maxOf(length, resumedTokens + 1)) {
                dueMillis += model.stepMillis(decoding.get()) * slowness
                if (dueMillis >= 1) {
                    delay(dueMillis.toLong())
                    dueMillis -= dueMillis.toLong()
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
        decodedTokens.incrementAndGet()
        val choice = CompletionChoice(text, if (last) "stop" else null)
        val event = CompletionEvent(listOf(choice), 1, WeightVersion(TokenText.versions(text).first()))
        writer.tryWrite(HttpData.ofUtf8("data: ${Jsons.wire.encodeToString(CompletionEvent.serializer(), event)}\n\n"))
        val consumed = writer.whenConsumed().handle { _, error -> error == null }.await()
        if (!consumed) currentCoroutineContext().cancel()
    }

    private fun handleOrder(request: AggregatedHttpRequest): HttpResponse {
        val order = Jsons.wire.decodeFromString(WeightOrder.serializer(), request.contentUtf8())
        val highest = highestFencingToken.accumulateAndGet(order.fence) { a, b -> maxOf(a, b) }
        if (options.checksFencing && order.fence < highest) {
            return problemResponse(Problem(ProblemKind.CONFLICT, "fencing token ${order.fence.value} is outdated"))
        }
        val start = order.version != version.get() && swappingTo.compareAndSet(null, order.version)
        if (start) scope.launch { swap(order.version) }
        return HttpResponse.of(HttpStatus.OK)
    }

    private suspend fun swap(to: WeightVersion) {
        while (!load(to)) delay(LOAD_RETRY_MILLIS)
        delay(options.swapMillis)
        if (faultRandom.nextInt(PERCENT) >= options.swapFailPercent) version.set(to)
        swappingTo.set(null)
    }

    /** Loads [version] from the weight store, if there is one; false if the store refused or failed. */
    private suspend fun load(version: WeightVersion): Boolean {
        val address = options.weightStoreAddress ?: return true
        val path = "/v1/models/${options.model}/versions/${version.value}"
        val loading = WebClient.of("http://$address").get(path).aggregate()
        return loading.handle { response, error -> error == null && response.status() == HttpStatus.OK }.await()
    }

    private companion object {
        private const val LOAD_RETRY_MILLIS = 100L
        private const val PERCENT = 100
    }
}
