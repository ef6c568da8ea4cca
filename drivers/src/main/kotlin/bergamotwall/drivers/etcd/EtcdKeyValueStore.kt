package bergamotwall.drivers.etcd

import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueListing
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.LeaseId
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.drivers.http.http1ClientFactory
import bergamotwall.drivers.http.keyValueResponse
import bergamotwall.model.Jsons
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.reactive.collect
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.SerializationStrategy
import java.time.Duration

/** Driver for the JSON gateway of the etcd v3 API at [address], `host:port`. Calls time out after [timeoutMillis]. */
public fun KeyValueStore(
    address: String,
    timeoutMillis: Long = DEFAULT_TIMEOUT_MILLIS,
): KeyValueStore = EtcdKeyValueStore(address, timeoutMillis)

private const val DEFAULT_TIMEOUT_MILLIS = 1_000L
private const val OK_STATUS = 200
private const val LEASE_NOT_FOUND = 404

internal class EtcdKeyValueStore(address: String, timeoutMillis: Long) : KeyValueStore {
    private val client =
        WebClient
            .builder("h1c://$address")
            .factory(http1ClientFactory)
            .responseTimeout(Duration.ofMillis(timeoutMillis))
            .build()
    private val watchClient =
        WebClient
            .builder("h1c://$address")
            .factory(http1ClientFactory)
            .responseTimeoutMillis(0)
            .maxResponseLength(0)
            .build()

    override suspend fun get(key: String): Result<KeyValueEntry?, KeyValueError> =
        call("/v3/kv/range", RangeRequest.serializer(), RangeRequest(base64Of(key)), RangeResponse.serializer())
            .map { it.kvs.firstOrNull()?.let(::entryOf) }

    override suspend fun list(prefix: String): Result<KeyValueListing, KeyValueError> {
        val request = RangeRequest(base64Of(prefix), base64Of(rangeEndOf(prefix)))
        return call("/v3/kv/range", RangeRequest.serializer(), request, RangeResponse.serializer())
            .map { KeyValueListing(it.kvs.map(::entryOf), it.header.revision.toLong()) }
    }

    override suspend fun commit(transaction: Transaction): Result<TransactionOutcome, KeyValueError> =
        call("/v3/kv/txn", TxnRequest.serializer(), txnOf(transaction), TxnResponse.serializer(), writes = true)
            .map { outcomeOf(it) }

    override suspend fun grantLease(ttlSeconds: Long): Result<LeaseId, KeyValueError> {
        val request = LeaseGrantRequest(ttlSeconds.toString())
        return call(
            "/v3/lease/grant",
            LeaseGrantRequest.serializer(),
            request,
            LeaseResponse.serializer(),
            writes = true
        ).map { LeaseId(it.id.toLong()) }
    }

    override suspend fun keepAlive(lease: LeaseId): Result<Unit, KeyValueError> {
        val request = LeaseRequest(lease.value.toString())
        return call("/v3/lease/keepalive", LeaseRequest.serializer(), request, LeaseKeepAliveResponse.serializer())
            .andThen {
                val alive = it.result.ttlSeconds.toLong() > 0
                if (alive) Ok(Unit) else Err(KeyValueError.LeaseExpired("lease ${lease.value} has expired"))
            }
    }

    override suspend fun revoke(lease: LeaseId): Result<Unit, KeyValueError> {
        val request = LeaseRequest(lease.value.toString())
        return call("/v3/lease/revoke", LeaseRequest.serializer(), request, LeaseResponse.serializer(), writes = true)
            .map { }
    }

    override fun watch(
        prefix: String,
        fromRevision: Long,
    ): Flow<KeyValueEntry> =
        flow {
            val create = WatchCreateRequest(base64Of(prefix), base64Of(rangeEndOf(prefix)), fromRevision.toString())
            val body = Jsons.wire.encodeToString(WatchRequest.serializer(), WatchRequest(create))
            val lines = LineBuffer()
            watchClient.execute(post("/v3/watch", body)).split().body().collect { data ->
                lines.add(data.toStringUtf8()).forEach { line ->
                    val response = Jsons.wire.decodeFromString(WatchResponse.serializer(), line)
                    response.result.events.filter { it.type == "PUT" }.forEach { emit(entryOf(it.kv)) }
                }
            }
        }

    private suspend fun <Q, A> call(
        path: String,
        requestSerializer: SerializationStrategy<Q>,
        request: Q,
        responseSerializer: DeserializationStrategy<A>,
        writes: Boolean = false,
    ): Result<A, KeyValueError> {
        val body = Jsons.wire.encodeToString(requestSerializer, request)
        return keyValueResponse(writes) { client.execute(post(path, body)) }.andThen { response ->
            val text = response.contentUtf8()
            when (response.status().code()) {
                OK_STATUS -> parse(text, responseSerializer, writes)
                LEASE_NOT_FOUND -> Err(KeyValueError.LeaseExpired(text))
                in SERVER_ERRORS -> Err(KeyValueError.Unavailable(text, mayHaveApplied = writes))
                else -> Err(KeyValueError.Rejected(text))
            }
        }
    }

    private companion object {
        private val SERVER_ERRORS = 500..599
    }
}

private fun post(
    path: String,
    body: String,
): HttpRequest {
    val headers = RequestHeaders.builder(HttpMethod.POST, path).contentType(MediaType.JSON).build()
    return HttpRequest.of(headers, HttpData.ofUtf8(body))
}

private fun <A> parse(
    text: String,
    deserializer: DeserializationStrategy<A>,
    writes: Boolean,
): Result<A, KeyValueError> =
    try {
        Ok(Jsons.wire.decodeFromString(deserializer, text))
    } catch (e: SerializationException) {
        Err(KeyValueError.Unavailable("malformed answer: ${e.message}", mayHaveApplied = writes))
    }
