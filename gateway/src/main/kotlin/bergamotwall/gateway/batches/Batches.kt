package bergamotwall.gateway.batches

import bergamotwall.drivers.KeyValueStore
import bergamotwall.gateway.members.GatewayMember
import bergamotwall.gateway.routes.Route
import bergamotwall.gateway.targets.TargetParts
import bergamotwall.model.BatchId
import bergamotwall.model.BatchPage
import bergamotwall.model.BatchRecord
import bergamotwall.model.Done
import bergamotwall.model.EndBatch
import bergamotwall.model.FetchItem
import bergamotwall.model.ItemBody
import bergamotwall.model.ItemId
import bergamotwall.model.PeerMessage
import bergamotwall.model.ReadBatch
import bergamotwall.peers.PeerClient
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.withContext

/** What the work on batches needs; [work] for their items. */
public data class BatchParts(
    public val self: () -> GatewayMember,
    public val store: KeyValueStore,
    public val peers: PeerClient,
    public val work: TargetParts,
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
    private val store = BatchStore(parts.store)
    private val runner = ItemRunner(parts.work, settings.silenceMillis)
    private val loopScope = CoroutineScope(scope.coroutineContext + loop)
    internal val owner =
        BatchOwner(loopScope, store, parts.work, settings) { onDone ->
            ItemDispatcher(loopScope, parts.work, runner, onDone)
        }
    private val remote = RemoteBatches(parts, store, settings.pageChars)
    private val submissions: Submissions = Submissions(loopScope, parts, settings, owner, remote) { orphans.expect(it) }
    private val acceptance = Acceptance(parts, settings, owner, submissions)
    private val answers = BatchAnswers(owner, acceptance, settings.pageChars)
    private val orphans: Orphans = Orphans(loopScope, parts, store, owner, submissions)

    /** Makes [record] durable and has it run, here or at the process that runs the batches of [route]. */
    public suspend fun submit(
        record: BatchRecord,
        route: Route,
    ): SubmitOutcome =
        withContext(loop) { acceptance.submit(record, route) }

    /** Results of [batch] from [after] on, waiting up to [waitMillis] for the first. */
    public suspend fun read(
        batch: BatchId,
        after: Int,
        waitMillis: Long,
    ): ReadOutcome =
        withContext(loop) {
            val own = owner.find(batch)
            if (own != null) return@withContext ReadOutcome.Page(own.page(after, waitMillis, settings.pageChars))
            val answer = remote.ask(batch, ReadBatch(batch, after, waitMillis), waitMillis + settings.peerTimeoutMillis)
            if (answer is BatchPage) ReadOutcome.Page(answer) else remote.read(batch, after, waitMillis)
        }

    /** Body of [item] of [batch]. */
    public suspend fun body(
        batch: BatchId,
        item: ItemId,
    ): ReadOutcome =
        withContext(loop) {
            val own = owner.find(batch)
            if (own != null) return@withContext bodyOf(own.body(item))
            val answer = remote.ask(batch, FetchItem(batch, item), settings.peerTimeoutMillis)
            if (answer is ItemBody) bodyOf(answer.bodyBase64) else remote.body(batch, item)
        }

    /** Ends [batch]: no item of it is sent any more once this says so. */
    public suspend fun end(batch: BatchId): EndOutcome =
        withContext(loop) {
            val own = owner.find(batch)
            if (own != null) return@withContext owner.end(own)
            val answer = remote.ask(batch, EndBatch(batch), settings.acceptMillis)
            if (answer == Done) EndOutcome.Ended else remote.end(batch, attempts())
        }

    /** Answers [message] of another process, or null if it is not about batches. */
    public suspend fun answer(message: PeerMessage): PeerMessage? = withContext(loop) { answers.answer(message) }

    /** Targets have changed. */
    public suspend fun targetsChanged(): Unit = withContext(loop) { owner.wake() }

    /** Routes have changed. */
    public suspend fun routesChanged(): Unit =
        withContext(loop) {
            owner.routesChanged(parts.work.board.routes.read())
            orphans.routesChanged()
        }

    /** Members have changed: batches of one that is gone are taken over, until none is left. */
    public suspend fun membersChanged(): Unit = withContext(loop) { orphans.membersChanged() }

    /**
     * Stops all runs of this process, so that the others can take its batches over. No submission may come any more;
     * one that is under way is waited for, as the others look for orphans once only.
     */
    public suspend fun release(): Unit =
        withContext(loop) {
            submissions.awaitNone()
            owner.active().forEach { owner.lose(it, "this process leaves") }
        }

    private fun attempts() =
        Attempts(parts.work.clock, parts.work.random, parts.work.clock.monotonicMillis() + settings.acceptMillis)
}
