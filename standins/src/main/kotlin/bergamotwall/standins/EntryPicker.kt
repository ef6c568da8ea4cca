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

/** Asks the fleet which address to use, keeps the answer for its time to live, and goes on to the next on failure. */
internal class EntryPicker(private val bootstrap: List<String>, private val affinity: String) {
    private class Kept(val addresses: List<String>, val untilNanos: Long)

    private val client = WebClient.builder().responseTimeout(Duration.ofMillis(ASK_TIMEOUT_MILLIS)).build()
    private val kept = AtomicReference<Kept?>(null)

    /** Address to use now. */
    suspend fun address(): String {
        while (true) {
            kept.get()?.takeIf {
                it.untilNanos > System.nanoTime() && it.addresses.isNotEmpty()
            }?.let { return it.addresses.first() }
            bootstrap.shuffled().firstNotNullOfOrNull { ask(it) }?.let { kept.set(it) } ?: delay(RETRY_MILLIS)
        }
    }

    /** [address] failed: the next of the kept answer is used, or a new one is asked for. */
    fun failed(address: String) {
        kept.updateAndGet { it?.let { k -> Kept(k.addresses - address, k.untilNanos) } }
    }

    private suspend fun ask(address: String): Kept? =
        try {
            val answer = client.get("http://$address/v1/entries?affinity=$affinity").aggregate().await()
            val listed = Jsons.wire.decodeFromString(ListedEntries.serializer(), answer.contentUtf8())
            val until = System.nanoTime() + listed.ttlMillis * NANOS_PER_MILLI
            if (answer.status() == HttpStatus.OK) Kept(listed.entries.map { it.address }, until) else null
        } catch (e: CancellationException) {
            throw e
        } catch (
            @Suppress("TooGenericExceptionCaught", "SwallowedException") e: Exception,
        ) {
            null
        }

    private companion object {
        private const val ASK_TIMEOUT_MILLIS = 1_000L
        private const val RETRY_MILLIS = 100L
        private const val NANOS_PER_MILLI = 1_000_000L
    }
}
