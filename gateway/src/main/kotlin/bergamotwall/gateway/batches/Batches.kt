package bergamotwall.gateway.batches

import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueStore
import bergamotwall.gateway.forwarding.RequestForwarder
import bergamotwall.gateway.members.GatewayMember
import bergamotwall.gateway.members.RegistrationFence
import bergamotwall.gateway.rewards.RewardCaller
import bergamotwall.gateway.rewards.RewardDispatcher
import bergamotwall.gateway.routes.Route
import bergamotwall.gateway.targets.TargetDependencies
import bergamotwall.model.BatchId
import bergamotwall.model.BatchOwnership
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
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.withContext

/**
 * Dependencies of [Batches]; [shared] holds those that it has in common with other code that sends to targets.
 * [registration] fences the writes that make this process the owner of a batch. [forwarder] sends reward calls.
 */
public data class BatchDependencies(
    public val self: () -> GatewayMember,
    public val store: KeyValueStore,
    public val registration: RegistrationFence,
    public val peers: PeerClient,
    public val shared: TargetDependencies,
    public val forwarder: RequestForwarder,
)

/**
 * Serves batches at any process, whichever process owns them: submits them, and reads and ends them through their
 * owner, or in the key-value service if the owner does not respond. Owned batches are confined to the single thread of
 * [loop].
 */
public class Batches(
    private val dependencies: BatchDependencies,
    private val settings: BatchSettings,
    scope: CoroutineScope,
    private val loop: CoroutineDispatcher,
) {
    private val store = BatchStore(dependencies.store)
    private val paces = EventPaces()
    private val runner = ItemRunner(dependencies.shared, settings.silenceMillis, paces)
    private val mover = ItemMover(dependencies.shared, paces)
    private val loopScope = CoroutineScope(scope.coroutineContext + loop)
    private val orphanWatch =
        object : OrphanWatch {
            override fun unconfirmed(id: BatchId) = orphanAdopter.unconfirmed(id)

            override fun ownershipRead(
                id: BatchId,
                ownership: BatchOwnership,
            ) = orphanAdopter.ownershipRead(id, ownership)
        }
    internal val ownedBatches =
        OwnedBatches(
            loopScope,
            store,
            dependencies.shared,
            settings,
            orphanWatch,
            object : OwnedBatches.DispatcherFactory {
                override fun items(onItemEnded: (OwnedBatch) -> Unit) =
                    ItemDispatcher(loopScope, dependencies.shared, runner, mover, onItemEnded)

                override fun rewards(onItemEnded: (OwnedBatch) -> Unit): RewardDispatcher {
                    val caller = RewardCaller(dependencies.forwarder, dependencies.shared)
                    return RewardDispatcher(loopScope, dependencies.shared, caller, settings.rewards, onItemEnded)
                }
            },
        )
    private val remoteBatches = RemoteBatches(dependencies, store, settings.pageChars, orphanWatch)
    private val localSubmissions: LocalSubmissions =
        LocalSubmissions(loopScope, dependencies, settings, ownedBatches, remoteBatches, orphanWatch)
    private val submissionRouter = SubmissionRouter(dependencies, settings, ownedBatches, localSubmissions)

    /** What would happen to submissions. */
    internal val submissionView = SubmissionView(loop, submissionRouter, localSubmissions, ownedBatches.dispatcher)
    private val peerHandler = BatchPeerHandler(ownedBatches, submissionRouter)
    private val orphanAdopter: OrphanAdopter =
        OrphanAdopter(loopScope, dependencies, store, ownedBatches, localSubmissions)

    /** Whether this process runs any batch. */
    public val runsAny: Boolean get() = ownedBatches.runsAny

    /** Items whose text is not complete, by batch. Must be called on the batch loop. */
    internal val waitingItems: List<WaitingItems>
        get() =
            ownedBatches.active.mapNotNull { batch ->
                val count = batch.items.values.count { it.phase == ItemPhase.Generating }
                val due = batch.dueAtMillis.takeIf { (batch.route.batch?.runTargetMillis ?: 0) > 0 }
                if (count == 0) null else WaitingItems(batch.route.shares, count, due)
            }

    /**
     * Stores [record] durably and runs it, at the assigned owner of [route] or at this process. If it is the record of
     * the submission [large], it runs at this process: a message can't hold it.
     */
    public suspend fun submit(
        record: BatchRecord,
        route: Route,
        large: LargeSubmission? = null,
    ): SubmitOutcome =
        withContext(loop) {
            if (large == null) submissionRouter.submit(record, route) else localSubmissions.submit(record, route, large)
        }

    /** Ownership of [batch], whose owner may have changed since; null if the batch does not exist. */
    public suspend fun ownership(batch: BatchId): Result<BatchOwnership?, KeyValueError> =
        withContext(loop) {
            ownedBatches.find(batch)?.let { Ok(it.known.record.ownership) } ?: remoteBatches.ownership(batch)
        }

    /** Reads the results of [batch] from position [after] on, waiting up to [waitMillis] for the first one. */
    public suspend fun read(
        batch: BatchId,
        after: Int,
        waitMillis: Long,
    ): ReadOutcome =
        withContext(loop) {
            val owned = ownedBatches.find(batch)
            if (owned != null) {
                val page = ownedBatches.pages.read(owned, after, waitMillis)
                return@withContext if (page != null) ReadOutcome.Page(page) else remoteBatches.read(batch, after, 0)
            }
            val response =
                remoteBatches.requestFromOwner(
                    batch,
                    ReadBatch(batch, after, waitMillis),
                    waitMillis + settings.peerTimeoutMillis,
                )
            if (response is BatchPage) ReadOutcome.Page(response) else remoteBatches.read(batch, after, waitMillis)
        }

    /** Reads the request body of [item] of [batch]. */
    public suspend fun body(
        batch: BatchId,
        item: ItemId,
    ): ReadOutcome =
        withContext(loop) {
            val owned = ownedBatches.find(batch)
            if (owned != null) return@withContext owned.readBody(item)
            val response = remoteBatches.requestFromOwner(batch, FetchItem(batch, item), settings.peerTimeoutMillis)
            if (response is ItemBody) bodyOf(response.bodyBase64) else remoteBatches.body(batch, item)
        }

    /** Ends [batch]. Once the outcome is [EndOutcome.Ended], no more of its items are sent. */
    public suspend fun end(batch: BatchId): EndOutcome =
        withContext(loop) {
            val owned = ownedBatches.find(batch)
            if (owned != null) return@withContext ownedBatches.end(owned)
            val response = remoteBatches.requestFromOwner(batch, EndBatch(batch), settings.acceptMillis)
            if (response == Done) EndOutcome.Ended else ownedBatches.ends.store(batch) { remoteBatches.end(batch) }
        }

    /** Returns the response to [message] of another process, or null if the message is not about batches. */
    public suspend fun handle(message: PeerMessage): PeerMessage? = withContext(loop) { peerHandler.handle(message) }

    /** Dispatches waiting items again after a change of the targets. */
    public suspend fun targetsChanged(): Unit = withContext(loop) { ownedBatches.wake() }

    /** Applies a change of the routes. */
    public suspend fun routesChanged(): Unit =
        withContext(loop) {
            ownedBatches.routesChanged(dependencies.shared.gatewayState.routes.read())
            orphanAdopter.routesChanged()
        }

    /** Requests a search for orphans after a change of the members; it is repeated until no orphan is left. */
    public suspend fun membersChanged(): Unit = withContext(loop) { orphanAdopter.membersChanged() }

    /**
     * Stops all runs of this process, so that other processes can adopt its batches. Must not be called while new
     * submissions can still arrive. Waits for submissions in progress, because other processes may search for orphans
     * only once, and for a while for ends that are not stored yet, because others would go on with those batches.
     */
    public suspend fun release(): Unit =
        withContext(loop) {
            localSubmissions.awaitCompletion()
            ownedBatches.ends.awaitCompletion()
            ownedBatches.active.forEach { ownedBatches.relinquish(it, "this process releases its batches") }
        }
}
