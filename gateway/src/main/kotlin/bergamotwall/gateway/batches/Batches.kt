package bergamotwall.gateway.batches

import bergamotwall.drivers.KeyValueStore
import bergamotwall.gateway.GatewayBoard
import bergamotwall.gateway.http.TargetClient
import bergamotwall.gateway.members.GatewayMember
import bergamotwall.gateway.routes.Route
import bergamotwall.gateway.targets.TargetLoads
import bergamotwall.gateway.targets.TargetProtocol
import bergamotwall.model.BatchId
import bergamotwall.model.BatchOwnership
import bergamotwall.model.BatchPage
import bergamotwall.model.BatchRecord
import bergamotwall.model.Done
import bergamotwall.model.EndBatch
import bergamotwall.model.FetchItem
import bergamotwall.model.ItemBody
import bergamotwall.model.ItemId
import bergamotwall.model.NotOwner
import bergamotwall.model.PeerMessage
import bergamotwall.model.PeerRefusal
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.ReadBatch
import bergamotwall.peers.PeerClient
import bergamotwall.runtime.Clock
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Journal
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.util.Base64
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/** What the work on batches needs. */
public class BatchParts(
    public val self: () -> GatewayMember,
    public val board: GatewayBoard,
    public val store: KeyValueStore,
    public val peers: PeerClient,
    public val client: TargetClient,
    public val protocol: TargetProtocol,
    public val loads: TargetLoads,
    public val clock: Clock,
    public val random: Random,
    public val journal: Journal,
)

/**
 * Batches as callers see them, at any process: accepts them, and reads and ends them at their owner, or in the
 * key-value service if the owner does not answer. [loop] is the one thread that owned batches are confined to.
 */
public class Batches(
    private val parts: BatchParts,
    private val settings: BatchSettings,
    scope: CoroutineScope,
    private val loop: CoroutineDispatcher,
) {
    private val context = DispatchContext(parts.clock, parts.random, parts.journal, parts.self().dataCentre)
    private val store = BatchStore(parts.store, settings.partChars)
    private val runner = ItemRunner(parts.client, parts.protocol, parts.loads, parts.clock, settings.silenceMillis)
    private val loopScope = CoroutineScope(scope.coroutineContext + loop)
    internal val owner =
        BatchOwner(loopScope, store, context, settings) { onDone ->
            ItemDispatcher(loopScope, { parts.board.targets.read() }, parts.loads, runner, context, onDone)
        }
    private val owners = ConcurrentHashMap<BatchId, BatchOwnership>()
    private val orphans = Orphans(parts, store, owner)

    /** Makes [record] durable and starts to run it. */
    public suspend fun submit(
        record: BatchRecord,
        route: Route,
    ): SubmitOutcome =
        withContext(loop) {
            if (owner.find(record.id) != null) return@withContext SubmitOutcome.Accepted
            val self = parts.self()
            val wanted =
                BatchOwnership(
                    owner = self.id,
                    incarnation = self.incarnation,
                    nonce = parts.random.nextLong().toULong().toString(NONCE_RADIX),
                    parts = 0,
                    total = record.items.size,
                    acceptedAtMillis = parts.clock.wallMillis(),
                )
            val outcome = owner.submission(record.id) { create(record, route, wanted) }
            record(record.id, "submission: ${outcome::class.simpleName}", "created if absent", "route ${route.name}")
            when (outcome) {
                is CreateOutcome.Created -> SubmitOutcome.Accepted
                is CreateOutcome.Existed -> {
                    owners[record.id] = outcome.record.ownership
                    SubmitOutcome.Accepted
                }
                is CreateOutcome.NotCreated -> SubmitOutcome.Refused(outcome.detail, RETRY_AFTER_MILLIS)
                is CreateOutcome.Unknown -> SubmitOutcome.Unknown(outcome.detail)
            }
        }

    /** Results of [batch] from [after] on, waiting up to [waitMillis] for the first. */
    public suspend fun read(
        batch: BatchId,
        after: Int,
        waitMillis: Long,
    ): ReadOutcome =
        withContext(loop) {
            val own = owner.find(batch)
            if (own != null) return@withContext ReadOutcome.Page(owner.page(own, after, waitMillis))
            val answer = askOwner(batch, ReadBatch(batch, after, waitMillis), waitMillis + settings.peerTimeoutMillis)
            if (answer is BatchPage) ReadOutcome.Page(answer) else readStore(batch, after, waitMillis)
        }

    /** Body of [item] of [batch]. */
    public suspend fun body(
        batch: BatchId,
        item: ItemId,
    ): ReadOutcome =
        withContext(loop) {
            val own = owner.find(batch)
            if (own != null) return@withContext bodyOf(owner.body(own, item))
            val answer = askOwner(batch, FetchItem(batch, item), settings.peerTimeoutMillis)
            if (answer is ItemBody) bodyOf(answer.bodyBase64) else bodyFromStore(batch, item)
        }

    /** Ends [batch]: no item of it is sent any more once this says so. */
    public suspend fun end(batch: BatchId): EndOutcome =
        withContext(loop) {
            val own = owner.find(batch)
            if (own != null) return@withContext owner.end(own)
            val answer = askOwner(batch, EndBatch(batch), settings.acceptMillis)
            if (answer == Done) EndOutcome.Ended else endInStore(batch)
        }

    /** Answers [message] of another process, or null if it is not about batches. */
    public suspend fun answer(message: PeerMessage): PeerMessage? =
        withContext(loop) {
            when (message) {
                is ReadBatch ->
                    owner.find(message.batch)?.let { owner.page(it, message.after, message.waitMillis) } ?: NotOwner
                is FetchItem -> owner.find(message.batch)?.let { ItemBody(owner.body(it, message.item)) } ?: NotOwner
                is EndBatch -> owner.find(message.batch)?.let { endedAnswer(owner.end(it)) } ?: NotOwner
                else -> null
            }
        }

    /** Targets have changed. */
    public suspend fun targetsChanged(): Unit = withContext(loop) { owner.wake() }

    /** Routes have changed. */
    public suspend fun routesChanged(): Unit = withContext(loop) { owner.routesChanged(parts.board.routes.read()) }

    /** Stops all runs of this process, so that the others can take its batches over. */
    public suspend fun release(): Unit = withContext(loop) { owner.active().forEach { owner.lose(it, "this process leaves") } }

    /** Looks for batches whose owner is gone and takes over those that fall to this process. */
    public suspend fun adoptOrphans(): Unit = withContext(loop) { orphans.adopt() }

    private suspend fun create(
        record: BatchRecord,
        route: Route,
        wanted: BatchOwnership,
    ): CreateOutcome {
        val outcome = store.create(record, wanted, attempts())
        if (outcome is CreateOutcome.Created) {
            owner.take(OwnedBatch(record, outcome.record, route, parts.clock.monotonicMillis(), emptyList()))
        }
        return outcome
    }

    private suspend fun askOwner(
        batch: BatchId,
        message: PeerMessage,
        timeoutMillis: Long,
    ): PeerMessage? {
        val known = owners[batch] ?: locate(batch) ?: return null
        val member = parts.board.members.read().find(known.owner, known.incarnation)
        if (member == null || member.id == parts.self().id) {
            owners.remove(batch)
            return null
        }
        val answer = parts.peers.ask(member.peerAddress, message, timeoutMillis).get()
        if (answer == null || answer is NotOwner) owners.remove(batch)
        return answer
    }

    private suspend fun locate(batch: BatchId): BatchOwnership? =
        store.ownership(batch).get()?.ownership?.also { owners[batch] = it }

    private suspend fun readStore(
        batch: BatchId,
        after: Int,
        waitMillis: Long,
    ): ReadOutcome {
        val found = store.ownership(batch).fold({ it }, { return ReadOutcome.Unavailable(it.detail) })
        if (found == null) return ReadOutcome.Absent
        return store.results(batch).fold(
            success = { results ->
                if (results.size <= after) delay(minOf(waitMillis, STORE_PAUSE_MILLIS))
                ReadOutcome.Page(pageOf(found.ownership.total, results, after, settings.pageChars))
            },
            failure = { ReadOutcome.Unavailable(it.detail) },
        )
    }

    private suspend fun bodyFromStore(
        batch: BatchId,
        item: ItemId,
    ): ReadOutcome {
        val found = store.ownership(batch).fold({ it }, { return ReadOutcome.Unavailable(it.detail) })
        if (found == null) return ReadOutcome.Absent
        return store.items(batch, found.ownership).fold(
            success = { record -> bodyOf(record.items.firstOrNull { it.id == item }?.bodyBase64) },
            failure = { ReadOutcome.Unavailable(it.detail) },
        )
    }

    private suspend fun endInStore(batch: BatchId): EndOutcome {
        val attempts = attempts()
        while (attempts.next()) {
            val found = store.ownership(batch).fold({ it ?: return EndOutcome.Absent }, { null }) ?: continue
            if (found.ownership.ended) return EndOutcome.Ended
            store.replace(batch, found.revision, found.ownership.copy(ended = true))
        }
        return EndOutcome.Unavailable("the key-value service did not answer in time")
    }

    private fun endedAnswer(outcome: EndOutcome): PeerMessage =
        if (outcome is EndOutcome.Ended) Done else PeerRefusal(Problem(ProblemKind.UNAVAILABLE, "not durable yet"))

    private fun bodyOf(base64: String?): ReadOutcome =
        if (base64 == null) ReadOutcome.Absent else ReadOutcome.Body(Base64.getDecoder().decode(base64))

    private fun attempts() =
        Attempts(parts.clock, parts.random, parts.clock.monotonicMillis() + settings.acceptMillis)

    private fun record(
        batch: BatchId,
        decision: String,
        rule: String,
        inputs: String,
    ): Unit = parts.journal.record(Decision("batch/${batch.value}", decision, rule, "", inputs))

    private companion object {
        private const val NONCE_RADIX = 36

        /** The key-value service is tried for seconds before a refusal; most of its troubles are over by then. */
        private const val RETRY_AFTER_MILLIS = 1_000L

        /** Spares the key-value service from callers that poll a batch between two owners. */
        private const val STORE_PAUSE_MILLIS = 400L
    }
}
