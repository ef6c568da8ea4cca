package bergamotwall.gateway.batches

import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.model.BatchId
import bergamotwall.model.BatchOwnership
import bergamotwall.model.ItemId
import bergamotwall.model.NotOwner
import bergamotwall.model.PeerMessage
import bergamotwall.runtime.Decision
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

/**
 * Accesses batches of other processes, through their owner or directly in the key-value service. [orphanWatch] gets
 * each ownership that is read there.
 */
internal class RemoteBatches(
    private val dependencies: BatchDependencies,
    private val store: BatchStore,
    private val pageBytes: Int,
    private val orphanWatch: OrphanWatch,
) {
    private val owners = ConcurrentHashMap<BatchId, BatchOwnership>()
    private val withdrawal = BatchWithdrawal(dependencies)

    /** Caches the owner of [batch]. */
    fun rememberOwner(
        batch: BatchId,
        ownership: BatchOwnership,
    ) {
        owners[batch] = ownership
    }

    /**
     * Sends [message] to the owner of [batch]; returns null if the owner is unknown, unreachable or does not respond.
     */
    suspend fun requestFromOwner(
        batch: BatchId,
        message: PeerMessage,
        timeoutMillis: Long,
    ): PeerMessage? {
        val known = ownership(batch).get()
        val member = known?.let { dependencies.shared.gatewayState.members.read().find(it.owner, it.incarnation) }
        val other = member?.takeUnless { it.id == dependencies.self().id }
        val response = other?.let { dependencies.peers.sendRequest(it.peerAddress, message, timeoutMillis).get() }
        if (response == null || response is NotOwner) owners.remove(batch)
        return response
    }

    /** Ownership of [batch] as last known, null if the batch does not exist. */
    suspend fun ownership(batch: BatchId): Result<BatchOwnership?, KeyValueError> =
        owners[batch]?.let { Ok(it) }
            ?: readExisting(batch).map { stored -> stored?.ownership?.also { owners[batch] = it } }

    /** The record of [batch], null if there is none or the batch was withdrawn. */
    private suspend fun readExisting(batch: BatchId): Result<OwnershipRecord?, KeyValueError> =
        readOwnership(batch).map { stored -> stored?.takeUnless { it.ownership.withdrawn } }

    private suspend fun readOwnership(batch: BatchId): Result<OwnershipRecord?, KeyValueError> =
        store.ownership(batch).onSuccess { stored -> stored?.let { orphanWatch.ownershipRead(batch, it.ownership) } }

    /** Reads the results of [batch] from the key-value service. */
    suspend fun read(
        batch: BatchId,
        after: Int,
        waitMillis: Long,
    ): ReadOutcome =
        readFromStore(batch) { stored ->
            store.results(batch).map { results ->
                val owner = stored.ownership.owner.value
                dependencies.shared.journal.record(
                    Decision(
                        subject = "batch/${batch.value}",
                        decision = "read from the key-value service",
                        rule = "its owner does not respond, or may lack stored results",
                        cause = "owner $owner",
                        inputs = "from position $after, ${results.size} of ${stored.ownership.total} results stored",
                    ),
                )
                if (results.size <= after) delay(minOf(waitMillis, STORE_POLL_DELAY_MILLIS))
                ReadOutcome.Page(pageOf(stored.ownership.total, results, after, pageBytes))
            }
        }

    /** Reads the body of [item] of [batch] from the key-value service. */
    suspend fun body(
        batch: BatchId,
        item: ItemId,
    ): ReadOutcome =
        readFromStore(batch) { stored ->
            store.record(batch, stored.ownership).andThen { read ->
                val spec = read.record.items.firstOrNull { it.id == item }
                if (spec == null || read.bodies == null) {
                    Ok(bodyOf(spec?.bodyBase64))
                } else {
                    read.bodies.read(item).map { ReadOutcome.Body(it) }
                }
            }
        }

    private suspend fun readFromStore(
        batch: BatchId,
        read: suspend (OwnershipRecord) -> Result<ReadOutcome, KeyValueError>,
    ): ReadOutcome =
        readExisting(batch)
            .andThen { stored -> if (stored == null) Ok(ReadOutcome.Absent) else read(stored) }
            .fold({ it }, { ReadOutcome.Unavailable(it.detail) })

    /**
     * Tries to mark [batch] as ended in the key-value service, or to withdraw it if it is not stored; returns null if
     * that is not known to have succeeded.
     */
    suspend fun end(batch: BatchId): EndOutcome? =
        readOwnership(batch).fold(
            success = { stored ->
                when {
                    stored == null -> EndOutcome.Absent.takeIf { withdrawal.withdraw(batch) }
                    stored.ownership.withdrawn -> EndOutcome.Absent
                    stored.ownership.ended -> EndOutcome.Ended
                    else -> storeEnd(batch, stored)
                }
            },
            failure = { null },
        )

    private suspend fun storeEnd(
        batch: BatchId,
        stored: OwnershipRecord,
    ): EndOutcome? {
        val outcome = store.replace(batch, stored, stored.ownership.copy(ended = true)).get()
        return EndOutcome.Ended.takeIf { outcome is TransactionOutcome.Committed }
    }

    private companion object {
        /** Protects the key-value service from callers that poll a batch while its owner changes. */
        private const val STORE_POLL_DELAY_MILLIS = 400L
    }
}

/** Outcome of reading an item whose body is [base64], null if there is no such item. */
internal fun bodyOf(base64: String?): ReadOutcome =
    if (base64 == null) ReadOutcome.Absent else ReadOutcome.Body(Base64.getDecoder().decode(base64))
