package bergamotwall.gateway.batches

import bergamotwall.gateway.members.GatewayMember
import bergamotwall.gateway.members.assignedOwnerOf
import bergamotwall.gateway.routes.Route
import bergamotwall.gateway.routes.RouteKind
import bergamotwall.model.BatchId
import bergamotwall.model.BatchRecord
import bergamotwall.model.Done
import bergamotwall.model.NotOwner
import bergamotwall.model.PeerMessage
import bergamotwall.model.PeerRefusal
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.SubmitBatch
import bergamotwall.peers.PeerError
import com.github.michaelbull.result.fold

/**
 * Decides which process accepts a submitted batch: the assigned owner of the batch's route, or this process if the
 * assigned owner does not accept it.
 *
 * Guarantee: [SubmitOutcome.Refused] means that no process has accepted the batch or will accept it because of this
 * submission. If the assigned owner may still accept it, a local refusal is reported as [SubmitOutcome.Unknown].
 * Confined to the batch loop.
 */
internal class SubmissionRouter(
    private val dependencies: BatchDependencies,
    private val settings: BatchSettings,
    private val ownedBatches: OwnedBatches,
    private val localSubmissions: LocalSubmissions,
) {
    /** Submits [record], received from a caller. */
    suspend fun submit(
        record: BatchRecord,
        route: Route,
    ): SubmitOutcome =
        when (val transfer = transferToAssignedOwner(record, route)) {
            TransferOutcome.ACCEPTED -> SubmitOutcome.Accepted
            TransferOutcome.DECLINED, TransferOutcome.UNKNOWN -> {
                val outcome = localSubmissions.submit(record, route)
                val uncertain = transfer == TransferOutcome.UNKNOWN && outcome is SubmitOutcome.Refused
                if (uncertain) SubmitOutcome.Unknown("another process may have accepted it") else outcome
            }
        }

    /** Accepts [record] transferred from another process, unless this process cannot run it. */
    suspend fun acceptFromPeer(record: BatchRecord): PeerMessage {
        val route =
            dependencies.shared.gatewayState.routes
                .read()
                .find(record.host, record.path)
                ?.takeIf { it.kind == RouteKind.BATCH }
        val busy = ownedBatches.active.sumOf { it.unfinished } >= settings.homeItems
        if (route == null || busy || !dependencies.self().ready) return NotOwner
        return when (val outcome = localSubmissions.submit(record, route)) {
            is SubmitOutcome.Accepted -> Done
            // The sender finds the batch of the other workspace by itself.
            is SubmitOutcome.Refused, SubmitOutcome.Foreign -> NotOwner
            is SubmitOutcome.Unknown -> PeerRefusal(Problem(ProblemKind.UNAVAILABLE, outcome.reason))
        }
    }

    /** The process that batch [id], submitted here on [route], is transferred to; null if it is accepted here. */
    fun transferTarget(
        id: BatchId,
        route: Route,
    ): GatewayMember? {
        val assigned = assignedOwnerOf(dependencies.shared.gatewayState, route.name)
        return assigned?.takeUnless { it.id == dependencies.self().id || ownedBatches.find(id) != null }
    }

    private suspend fun transferToAssignedOwner(
        record: BatchRecord,
        route: Route,
    ): TransferOutcome {
        val assigned = transferTarget(record.id, route) ?: return TransferOutcome.DECLINED
        return dependencies.peers.sendRequest(assigned.peerAddress, SubmitBatch(record), settings.handOverMillis).fold(
            success = { response ->
                when (response) {
                    Done -> TransferOutcome.ACCEPTED
                    NotOwner -> TransferOutcome.DECLINED
                    else -> TransferOutcome.UNKNOWN
                }
            },
            failure = { if (it is PeerError.Unreachable) TransferOutcome.DECLINED else TransferOutcome.UNKNOWN },
        )
    }

    private enum class TransferOutcome {
        ACCEPTED,

        /** The assigned owner has not accepted the batch and never will, or no transfer was needed. */
        DECLINED,

        /** The assigned owner may have accepted the batch, or may still accept it. */
        UNKNOWN,
    }
}
