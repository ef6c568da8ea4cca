package bergamotwall.gateway.batches

import bergamotwall.gateway.members.homeOf
import bergamotwall.gateway.routes.Route
import bergamotwall.gateway.routes.RouteKind
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
 * Accepts batches at the process that those of their route run at, or at this one if that process does not take them.
 *
 * Guarantees: a refusal is true. If the other process may still accept the batch, a refusal here becomes "unknown".
 * Confined to the batch loop.
 */
internal class Acceptance(
    private val parts: BatchParts,
    private val settings: BatchSettings,
    private val owner: BatchOwner,
    private val submissions: Submissions,
) {
    /** Accepts [record], which a caller handed to this process. */
    suspend fun submit(
        record: BatchRecord,
        route: Route,
    ): SubmitOutcome =
        when (val answer = askHome(record, route)) {
            HomeAnswer.ACCEPTED -> SubmitOutcome.Accepted
            HomeAnswer.NOT_TAKEN, HomeAnswer.UNKNOWN -> {
                val outcome = submissions.submit(record, route)
                val uncertain = answer == HomeAnswer.UNKNOWN && outcome is SubmitOutcome.Refused
                if (uncertain) SubmitOutcome.Unknown("another process may have accepted it") else outcome
            }
        }

    /** Accepts [record], which another process handed over. */
    suspend fun answer(record: BatchRecord): PeerMessage {
        val route = parts.work.board.routes.read().find(record.host, record.path)?.takeIf { it.kind == RouteKind.BATCH }
        val busy = owner.active().sumOf { it.unfinished } >= settings.homeItems
        if (route == null || busy || !parts.self().ready) return NotOwner
        return when (val outcome = submissions.submit(record, route)) {
            is SubmitOutcome.Accepted -> Done
            is SubmitOutcome.Refused -> NotOwner
            is SubmitOutcome.Unknown -> PeerRefusal(Problem(ProblemKind.UNAVAILABLE, outcome.reason))
        }
    }

    private suspend fun askHome(
        record: BatchRecord,
        route: Route,
    ): HomeAnswer {
        val home = homeOf(parts.work.board.members.read(), route.name)
        if (home == null || home.id == parts.self().id || owner.find(record.id) != null) return HomeAnswer.NOT_TAKEN
        return parts.peers.ask(home.peerAddress, SubmitBatch(record), settings.handOverMillis).fold(
            success = { answer ->
                when (answer) {
                    Done -> HomeAnswer.ACCEPTED
                    NotOwner -> HomeAnswer.NOT_TAKEN
                    else -> HomeAnswer.UNKNOWN
                }
            },
            failure = { if (it is PeerError.Unreachable) HomeAnswer.NOT_TAKEN else HomeAnswer.UNKNOWN },
        )
    }

    private enum class HomeAnswer {
        ACCEPTED,

        /** It did not accept the batch and will not. */
        NOT_TAKEN,

        /** It may have accepted it, or may do so yet. */
        UNKNOWN,
    }
}
