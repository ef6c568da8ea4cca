package bergamotwall.gateway.batches

import bergamotwall.drivers.KeyValueError
import bergamotwall.model.BatchId
import bergamotwall.model.BatchOwnership
import bergamotwall.model.ItemId
import bergamotwall.model.NotOwner
import bergamotwall.model.PeerMessage
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.delay
import java.util.Base64
import java.util.concurrent.ConcurrentHashMap

/** Batches that other processes own: asked for at their owner, or read from the key-value service in its place. */
internal class RemoteBatches(
    private val parts: BatchParts,
    private val store: BatchStore,
    private val pageChars: Int,
) {
    private val owners = ConcurrentHashMap<BatchId, BatchOwnership>()

    /** Remembers who owns [batch]. */
    fun found(
        batch: BatchId,
        ownership: BatchOwnership,
    ) {
        owners[batch] = ownership
    }

    /** Answer of the process that owns [batch] to [message], or null if it can't be found or asked. */
    suspend fun ask(
        batch: BatchId,
        message: PeerMessage,
        timeoutMillis: Long,
    ): PeerMessage? {
        val known = owners[batch] ?: locate(batch)
        val member = known?.let { parts.work.board.members.read().find(it.owner, it.incarnation) }
        val other = member?.takeUnless { it.id == parts.self().id }
        val answer = other?.let { parts.peers.ask(it.peerAddress, message, timeoutMillis).get() }
        if (answer == null || answer is NotOwner) owners.remove(batch)
        return answer
    }

    private suspend fun locate(batch: BatchId): BatchOwnership? =
        store.ownership(batch).get()?.ownership?.also { owners[batch] = it }

    /** Results of [batch] as the key-value service has them. */
    suspend fun read(
        batch: BatchId,
        after: Int,
        waitMillis: Long,
    ): ReadOutcome =
        fromStore(batch) { owned ->
            store.results(batch).map { results ->
                if (results.size <= after) delay(minOf(waitMillis, STORE_PAUSE_MILLIS))
                ReadOutcome.Page(pageOf(owned.ownership.total, results, after, pageChars))
            }
        }

    /** Body of [item] of [batch] as the key-value service has it. */
    suspend fun body(
        batch: BatchId,
        item: ItemId,
    ): ReadOutcome =
        fromStore(batch) { owned ->
            store.items(batch, owned.ownership).map { record ->
                bodyOf(record.items.firstOrNull { it.id == item }?.bodyBase64)
            }
        }

    private suspend fun fromStore(
        batch: BatchId,
        read: suspend (OwnedRecord) -> Result<ReadOutcome, KeyValueError>,
    ): ReadOutcome =
        store
            .ownership(batch)
            .andThen { owned -> if (owned == null) Ok(ReadOutcome.Absent) else read(owned) }
            .fold({ it }, { ReadOutcome.Unavailable(it.detail) })

    /** Marks [batch] as ended in the key-value service. */
    suspend fun end(
        batch: BatchId,
        attempts: Attempts,
    ): EndOutcome {
        var outcome: EndOutcome = EndOutcome.Unavailable("the key-value service did not answer in time")
        while (outcome is EndOutcome.Unavailable && attempts.next()) {
            store.ownership(batch).onSuccess { found ->
                when {
                    found == null -> outcome = EndOutcome.Absent
                    found.ownership.ended -> outcome = EndOutcome.Ended
                    else -> store.replace(batch, found.revision, found.ownership.copy(ended = true))
                }
            }
        }
        return outcome
    }

    private companion object {
        /** Spares the key-value service from callers that poll a batch between two owners. */
        private const val STORE_PAUSE_MILLIS = 400L
    }
}

/** Outcome of a read that found the body [base64], or none. */
internal fun bodyOf(base64: String?): ReadOutcome =
    if (base64 == null) ReadOutcome.Absent else ReadOutcome.Body(Base64.getDecoder().decode(base64))
