package bergamotwall.standins

import bergamotwall.model.Jsons
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpStatus
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.serialization.Serializable
import java.time.Duration
import java.util.concurrent.atomic.AtomicReference

@Serializable
private data class ListedEntry(val address: String)

@Serializable
private data class ListedEntries(val entries: List<ListedEntry>, val ttlMillis: Long)

/**
 * Chooses the entry that a caller uses: fetches the list of entries from one of [bootstrap], caches it for its time to
 * live, and skips entries that failed. The fleet orders the list by [affinity].
 */
internal class EntryPicker(private val bootstrap: List<String>, private val affinity: String) {
    private class CachedEntries(val addresses: List<String>, val expiresAtNanos: Long)

    private val client = WebClient.builder().responseTimeout(Duration.ofMillis(FETCH_TIMEOUT_MILLIS)).build()
    private val cached = AtomicReference<CachedEntries?>(null)

    /** Address of the entry to use; waits until one is known. */
    suspend fun address(): String {
        while (true) {
            cached
                .get()
                ?.takeIf { it.expiresAtNanos > System.nanoTime() && it.addresses.isNotEmpty() }
                ?.let { return it.addresses.first() }
            bootstrap.shuffled().firstNotNullOfOrNull { fetch(it) }?.let { cached.set(it) } ?: delay(RETRY_MILLIS)
        }
    }

    /** Removes [address], which failed, from the cached list; a list without entries is fetched again. */
    fun markFailed(address: String) {
        cached.updateAndGet { it?.let { list -> CachedEntries(list.addresses - address, list.expiresAtNanos) } }
    }

    private suspend fun fetch(address: String): CachedEntries? =
        try {
            val response = client.get("http://$address/v1/entries?affinity=$affinity").aggregate().await()
            val listed = Jsons.wire.decodeFromString(ListedEntries.serializer(), response.contentUtf8())
            val until = System.nanoTime() + listed.ttlMillis * NANOS_PER_MILLI
            if (response.status() == HttpStatus.OK) CachedEntries(listed.entries.map { it.address }, until) else null
        } catch (e: CancellationException) {
            throw e
        } catch (
            @Suppress("TooGenericExceptionCaught", "SwallowedException") e: Exception,
        ) {
            null
        }

    private companion object {
        private const val FETCH_TIMEOUT_MILLIS = 1_000L
        private const val RETRY_MILLIS = 100L
        private const val NANOS_PER_MILLI = 1_000_000L
    }
}
