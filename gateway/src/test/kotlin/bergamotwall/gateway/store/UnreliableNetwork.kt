package bergamotwall.gateway.store

import bergamotwall.drivers.ChangeFeed
import bergamotwall.drivers.KeyValueChange
import bergamotwall.drivers.KeyValueChanges
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueListing
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.LeaseId
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.model.PeerMessage
import bergamotwall.peers.PeerClient
import bergamotwall.peers.PeerError
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Network between a process, the key-value service and its peers, in virtual time. A call receives no response if its
 * path was interrupted at any moment between its request and its response.
 */
internal class UnreliableNetwork(private val nowMillis: () -> Long) {
    /** Interrupted periods, by path. A period of no length interrupts only the calls in progress at that moment. */
    val interruptions = ArrayList<Pair<String, LongRange>>()

    /** Number of idle connections to the service that deliver nothing; the next direct calls are sent on these. */
    var silencedIdleConnections = 0

    /** Keys under the watched prefix, with the time of their only write. */
    private val writes = ArrayList<Pair<KeyValueEntry, Long>>()

    /** Revisions of writes under other prefixes, with their times. */
    private val otherWrites = ArrayList<Pair<Long, Long>>()

    private var revision = 1L

    /** Writes [key] at [atMillis] and returns the revision; writes must be added in the order of their times. */
    fun write(
        key: String,
        atMillis: Long,
    ): Long {
        revision++
        writes += KeyValueEntry(key, "v", revision, revision) to atMillis
        return revision
    }

    /** Writes a key under another prefix at [atMillis]. */
    fun writeElsewhere(atMillis: Long) {
        otherWrites += ++revision to atMillis
    }

    /** The revision of the service at [atMillis]. */
    fun revisionAt(atMillis: Long): Long =
        maxOf(
            writes.filter { it.second <= atMillis }.maxOfOrNull { it.first.modRevision } ?: 1,
            otherWrites.filter { it.second <= atMillis }.maxOfOrNull { it.first } ?: 1,
        )

    /** Makes [call] over [path] and waits up to [timeoutMillis]; null without a response. */
    suspend fun <T : Any> over(
        path: String,
        timeoutMillis: Long,
        call: suspend () -> T,
    ): T? {
        val sentAtMillis = nowMillis()
        val onSilenced = path == DIRECT && silencedIdleConnections > 0
        if (onSilenced) silencedIdleConnections--
        return withTimeoutOrNull(timeoutMillis) {
            delay(ONE_WAY_MILLIS)
            val result = call()
            delay(ONE_WAY_MILLIS)
            if (onSilenced || interrupted(path, sentAtMillis, nowMillis())) delay(Long.MAX_VALUE)
            result
        }
    }

    private fun interrupted(
        path: String,
        fromMillis: Long,
        toMillis: Long,
    ) = interruptions.any { (name, period) -> name == path && period.first <= toMillis && period.last >= fromMillis }

    /** The service's own side of a long poll. */
    private suspend fun changes(
        afterRevision: Long,
        waitMillis: Long,
    ): KeyValueChanges {
        val untilMillis = nowMillis() + waitMillis
        while (true) {
            val changes = visible().filter { it.modRevision > afterRevision }.map { KeyValueChange.Put(it) }
            if (changes.isNotEmpty() || nowMillis() >= untilMillis) {
                return KeyValueChanges(changes, revisionAt(nowMillis()))
            }
            delay(minOf(POLL_STEP_MILLIS, untilMillis - nowMillis()))
        }
    }

    private fun visible() = writes.filter { it.second <= nowMillis() }.map { it.first }

    /** Drivers for calls to the service over [path], which fail after [marginMillis]. */
    inner class Driver(private val path: String, private val marginMillis: Long) : KeyValueStore, ChangeFeed {
        private suspend fun <T : Any> call(result: () -> T): Result<T, KeyValueError> =
            over(path, marginMillis) { result() }?.let { Ok(it) } ?: noResponse

        override suspend fun get(key: String): Result<KeyValueEntry?, KeyValueError> =
            list(key).map { it.entries.firstOrNull() }

        override suspend fun list(prefix: String): Result<KeyValueListing, KeyValueError> =
            call { KeyValueListing(visible().associateBy { it.key }.values.toList(), revisionAt(nowMillis())) }

        override suspend fun commit(transaction: Transaction): Result<TransactionOutcome, KeyValueError> =
            call { TransactionOutcome.Committed(1) }

        override suspend fun grantLease(ttlSeconds: Long): Result<LeaseId, KeyValueError> = call { LeaseId(1) }

        override suspend fun keepAlive(lease: LeaseId): Result<Unit, KeyValueError> = call { }

        override suspend fun revoke(lease: LeaseId): Result<Unit, KeyValueError> = call { }

        override fun watch(
            prefix: String,
            fromRevision: Long,
        ) = error("not used")

        override suspend fun changes(
            prefix: String,
            afterRevision: Long,
            waitMillis: Long,
        ): Result<KeyValueChanges, KeyValueError> =
            over(path, waitMillis + marginMillis) { changes(afterRevision, waitMillis) }?.let { Ok(it) } ?: noResponse
    }

    /** Peers that relay calls; each reaches the service itself, and the path to it is named by its address. */
    inner class Peers(private val marginMillis: Long) : PeerClient {
        override val bytesSent: Long = 0

        override suspend fun sendRequest(
            address: String,
            message: PeerMessage,
            timeoutMillis: Long,
            trace: String?,
        ): Result<PeerMessage, PeerError> {
            val driver = Driver("service of $address", marginMillis)
            val response = over(address, timeoutMillis) { checkNotNull(StoreRelay(driver, driver).handle(message)) }
            return response?.let { Ok(it) } ?: Err(PeerError.NoResponse(address))
        }

        override fun close() = Unit
    }

    companion object {
        /** The process's own path to the service. */
        const val DIRECT = "direct"
        private const val ONE_WAY_MILLIS = 2L
        private const val POLL_STEP_MILLIS = 5L
        private val noResponse = Err(KeyValueError.Unavailable("no response", mayHaveApplied = true))
    }
}
