package bergamotwall.gateway.streams

import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.LeaseId
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.Write
import bergamotwall.model.Jsons
import bergamotwall.model.RequestId
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import org.tinylog.Logger
import java.util.concurrent.ConcurrentHashMap

/**
 * Where the streams began that this process began lately. Writes to the key-value service those that no version history
 * tells. Thread-safe, except that there must be one writer.
 */
internal class OriginRecords(
    private val dependencies: StreamOriginDependencies,
    private val settings: StreamSettings,
    private val histories: ServiceHistories,
) {
    private val clock = dependencies.clock
    private val remembered = ConcurrentHashMap<RequestId, RememberedStream>()
    private var lease: LeaseId? = null
    private var leaseGrantedAtMillis = 0L

    /** Number of streams. */
    val size: Int get() = remembered.size

    /** Origin of the stream of request [first], if this process began it. */
    fun find(first: RequestId): StreamOrigin? = remembered[first]?.origin

    /** Records that the stream of [request] began at [origin]. Returns whether that is to be written. */
    fun remember(
        request: RequestId,
        origin: StreamOrigin,
        onlyService: Boolean,
    ): Boolean {
        val stream = RememberedStream(origin, clock.monotonicMillis(), onlyService)
        if (request.value.length <= MAX_ID_CHARS) remembered[request] = stream
        return needsRecord(stream)
    }

    /** Writes the records that are missing, and forgets old streams. Returns whether none is missing now. */
    suspend fun write(): Boolean {
        val oldestMillis = clock.monotonicMillis() - settings.retentionMillis
        remembered.values.removeIf { it.beganAtMillis < oldestMillis }
        val missing = remembered.entries.filter { needsRecord(it.value) }
        return missing.chunked(MAX_WRITES).all { chunk -> write(chunk.associate { it.key to it.value }) }
    }

    /** Pause after a write. */
    fun pauseMillis(): Long {
        val processes = dependencies.gatewayState.members.read().members.size
        return maxOf(settings.minWriteMillis, processes * settings.writeMillisPerProcess)
    }

    private fun needsRecord(stream: RememberedStream): Boolean =
        !stream.stored && !(stream.onlyService && histories.uniformVersion(stream.origin.service) != null)

    private suspend fun write(streams: Map<RequestId, RememberedStream>): Boolean {
        val currentLease = currentLease() ?: return false
        val puts =
            streams.map { (id, stream) ->
                val text = Jsons.wire.encodeToString(StreamOrigin.serializer(), stream.origin)
                Write.Put(StreamKeys.origin(id), text, currentLease)
            }
        // Repeated after an unknown outcome: the writes are idempotent.
        val outcome =
            dependencies.store.commit(Transaction(emptyList(), puts)).onFailure {
                Logger.warn("event=streams_not_recorded count={} cause=\"{}\"", puts.size, it.detail)
                if (it is KeyValueError.LeaseExpired) lease = null
            }
        if (outcome.isOk) {
            streams.keys.forEach { id -> remembered.computeIfPresent(id) { _, stream -> stream.copy(stored = true) } }
        }
        return outcome.isOk
    }

    /** A lease that lasts until the records attached to it now may be forgotten. */
    private suspend fun currentLease(): LeaseId? {
        val nowMillis = clock.monotonicMillis()
        if (lease == null || nowMillis - leaseGrantedAtMillis >= settings.retentionMillis) {
            lease =
                dependencies.store.grantLease(2 * settings.retentionMillis / MILLIS_PER_SECOND).getOrElse {
                    Logger.warn("event=streams_not_recorded cause=\"{}\"", it.detail)
                    null
                }
            leaseGrantedAtMillis = nowMillis
        }
        return lease
    }

    private companion object {
        private const val MILLIS_PER_SECOND = 1_000L

        /** Maximum number of writes in a transaction of the platform's store. */
        private const val MAX_WRITES = 32

        /** Keys of the platform's store have 200 bytes at most. */
        private const val MAX_ID_CHARS = 128
    }
}
