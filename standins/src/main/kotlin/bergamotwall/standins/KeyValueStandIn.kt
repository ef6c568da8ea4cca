package bergamotwall.standins

import bergamotwall.drivers.etcd.LeaseGrantRequest
import bergamotwall.drivers.etcd.LeaseKeepAliveResponse
import bergamotwall.drivers.etcd.LeaseRequest
import bergamotwall.drivers.etcd.LeaseResponse
import bergamotwall.drivers.etcd.RangeRequest
import bergamotwall.drivers.etcd.RangeResponse
import bergamotwall.drivers.etcd.TxnRequest
import bergamotwall.drivers.etcd.TxnResponse
import bergamotwall.drivers.etcd.WatchEvent
import bergamotwall.drivers.etcd.WatchRequest
import bergamotwall.drivers.etcd.WatchResponse
import bergamotwall.drivers.etcd.WatchResult
import bergamotwall.model.Jsons
import bergamotwall.runtime.AggregatedHandler
import bergamotwall.runtime.aggregatedService
import bergamotwall.runtime.jsonResponse
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServerBuilder
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random

/**
 * Faults that the key-value stand-in injects until [untilMillis] (epoch milliseconds).
 *
 * [outage] fails every call before it takes effect and ends the open watches. [slowMillis] delays each call other than
 * a watch. [lostAnswerPercent] is the share of calls that take effect but report a failure.
 */
@Serializable
public data class KeyValueFaults(
    val outage: Boolean = false,
    val slowMillis: Long = 0,
    val lostAnswerPercent: Int = 0,
    val untilMillis: Long = 0,
)

/** Numbers of calls received so far. */
@Serializable
public data class KeyValueCalls(val reads: Long, val writes: Long, val watches: Long)

/** Stand-in for the platform's key-value service: a subset of the etcd v3 JSON gateway, with seeded faults. */
public class KeyValueStandIn(address: String, seed: Long) : AutoCloseable {
    // Serializes the use of `state` and `random`, which are not thread-safe.
    @OptIn(ExperimentalCoroutinesApi::class)
    private val stateDispatcher = Dispatchers.Default.limitedParallelism(1)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val state = KeyValueState { System.nanoTime() / NANOS_PER_MILLI }
    private val faults = AtomicReference(KeyValueFaults())
    private val random = Random(seed)
    private val reads = AtomicLong()
    private val writes = AtomicLong()
    private val watches = AtomicLong()
    private val server: Server = serverAt(address, ::routes)

    /** Port that the server listens on. */
    public val port: Int get() = server.activeLocalPort()

    /** Numbers of calls received so far; a watch counts as one call, whatever the number of its events. */
    public val calls: KeyValueCalls get() = KeyValueCalls(reads.get(), writes.get(), watches.get())

    /** Replaces the active faults. */
    public fun setFaults(replacement: KeyValueFaults): Unit = faults.set(replacement)

    override fun close() {
        scope.cancel()
        server.stop().join()
    }

    private fun routes(builder: ServerBuilder) {
        builder.storeCall("/v3/kv/range", reads) {
            respond(it, RangeRequest.serializer(), RangeResponse.serializer()) { q -> state.range(q) }
        }
        builder.storeCall("/v3/kv/txn", writes) {
            respond(it, TxnRequest.serializer(), TxnResponse.serializer()) { q -> state.txn(q) }
        }
        builder.storeCall("/v3/lease/grant", writes) { body ->
            respond(body, LeaseGrantRequest.serializer(), LeaseResponse.serializer()) { q ->
                LeaseResponse(state.grant(q.ttlSeconds.toLong()).toString(), q.ttlSeconds)
            }
        }
        builder.storeCall("/v3/lease/keepalive", writes) { body ->
            respond(body, LeaseRequest.serializer(), LeaseKeepAliveResponse.serializer()) { q ->
                LeaseKeepAliveResponse(LeaseResponse(q.id, state.keepAlive(q.id.toLong()).toString()))
            }
        }
        builder.storeCall("/v3/lease/revoke", writes) { body ->
            respond(body, LeaseRequest.serializer(), LeaseResponse.serializer()) { q ->
                state.revoke(q.id.toLong())
                LeaseResponse(q.id, "0")
            }
        }
        builder.route().post("/v3/watch").build(aggregatedService(scope) { _, r -> watch(r) })
        builder.post("/faults") { _, r ->
            setFaults(Jsons.wire.decodeFromString(KeyValueFaults.serializer(), r.contentUtf8()))
            HttpResponse.of(HttpStatus.OK)
        }
        builder.service("/calls") { _, _ -> jsonResponse(KeyValueCalls.serializer(), calls) }
    }

    private fun ServerBuilder.post(
        path: String,
        handler: AggregatedHandler,
    ) {
        route().post(path).build(aggregatedService(scope, handler))
    }

    /** Adds a route that counts its calls and is subject to the active faults. */
    private fun ServerBuilder.storeCall(
        path: String,
        counter: AtomicLong,
        block: suspend (String) -> HttpResponse,
    ) = post(path) { _, request ->
        counter.incrementAndGet()
        val active = activeFaults()
        if (active.slowMillis > 0) delay(active.slowMillis)
        val loseResponse = withContext(stateDispatcher) { random.nextInt(PERCENT) } < active.lostAnswerPercent
        if (active.outage) {
            unavailable()
        } else {
            val response = block(request.contentUtf8())
            if (loseResponse) unavailable() else response
        }
    }

    private suspend fun <Q, A> respond(
        body: String,
        requestSerializer: KSerializer<Q>,
        responseSerializer: KSerializer<A>,
        block: (Q) -> A,
    ): HttpResponse {
        val request = Jsons.wire.decodeFromString(requestSerializer, body)
        return jsonResponse(responseSerializer, withContext(stateDispatcher) { block(request) })
    }

    private fun watch(request: AggregatedHttpRequest): HttpResponse {
        watches.incrementAndGet()
        if (activeFaults().outage) return unavailable()
        val create = Jsons.wire.decodeFromString(WatchRequest.serializer(), request.contentUtf8()).create
        val writer = HttpResponse.streaming()
        writer.tryWrite(ResponseHeaders.builder(HttpStatus.OK).contentType(MediaType.JSON).build())
        val job =
            scope.launch {
                var nextRevision = create.startRevision.toLong()
                while (!activeFaults().outage) {
                    val events =
                        withContext(stateDispatcher) { state.changes(create.key, create.rangeEnd, nextRevision) }
                    if (events.isNotEmpty()) {
                        send(writer, WatchResult(events = events.map { WatchEvent("PUT", it) }))
                        nextRevision = events.maxOf { it.modRevision.toLong() } + 1
                    }
                    delay(WATCH_POLL_MILLIS)
                }
                writer.close()
            }
        writer.whenComplete().handle { _, _ -> job.cancel() }
        return writer
    }

    private fun send(
        writer: HttpResponseWriter,
        result: WatchResult,
    ) {
        val line = Jsons.wire.encodeToString(WatchResponse.serializer(), WatchResponse(result))
        writer.tryWrite(HttpData.ofUtf8(line + "\n"))
    }

    private fun activeFaults(): KeyValueFaults =
        faults.get().takeIf { it.untilMillis > System.currentTimeMillis() } ?: KeyValueFaults()

    private fun unavailable(): HttpResponse = HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE)

    private companion object {
        private const val NANOS_PER_MILLI = 1_000_000L
        private const val WATCH_POLL_MILLIS = 20L
        private const val PERCENT = 100
    }
}
