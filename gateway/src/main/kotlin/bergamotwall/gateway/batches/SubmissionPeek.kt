package bergamotwall.gateway.batches

import bergamotwall.gateway.members.GatewayMember
import bergamotwall.gateway.routes.Route
import bergamotwall.gateway.targets.TargetView
import bergamotwall.model.BatchRecord
import bergamotwall.model.ItemId
import bergamotwall.model.TargetId
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.withContext

/** Tells what would happen to submissions. Sends nothing and changes no state. */
internal class SubmissionView(
    private val loop: CoroutineDispatcher,
    private val router: SubmissionRouter,
    private val localSubmissions: LocalSubmissions,
    private val dispatcher: ItemDispatcher,
) {
    /** What would happen to [record] if it were submitted on [route] now. */
    suspend fun peek(
        record: BatchRecord,
        route: Route,
    ): SubmissionPeek =
        withContext(loop) {
            val transferTarget = router.transferTarget(record.id, route)
            SubmissionPeek(transferTarget, localSubmissions.decidedOutcome(record), dispatcher.peek(record, route))
        }
}

/**
 * What a submission would lead to: it is transferred to [transferTarget], or handled by this process if that is null.
 * [decided] is the outcome here if this process does not create the batch. [items] are its items as they would be
 * placed here.
 */
internal class SubmissionPeek(
    val transferTarget: GatewayMember?,
    val decided: SubmitOutcome?,
    val items: ItemsPeek,
)

/**
 * Where items that are not submitted yet would be sent, beside [waitingBefore] items that wait already: [assigned]
 * holds the target of each one that would be sent now. [eligible] are the targets whose weights the batch allows,
 * [targets] all that its services may use.
 */
internal class ItemsPeek(
    val assigned: Map<ItemId, TargetId>,
    val eligible: Set<TargetId>,
    val targets: List<TargetView>,
    val waitingBefore: Int,
)
