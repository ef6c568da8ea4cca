package bergamotwall.gateway.explain

import bergamotwall.gateway.Leave
import bergamotwall.gateway.batches.Batches
import bergamotwall.gateway.batches.SubmissionPeek
import bergamotwall.gateway.batches.SubmitOutcome
import bergamotwall.gateway.forwarding.CallerRequest
import bergamotwall.gateway.routes.Route
import bergamotwall.gateway.routes.RouteKind
import bergamotwall.gateway.routes.RouteTable
import bergamotwall.gateway.store.WatchConfirmation
import bergamotwall.gateway.targets.SendPurpose
import bergamotwall.gateway.targets.TargetDependencies
import bergamotwall.gateway.workspaces.CallerKeys
import bergamotwall.gateway.workspaces.KeyAccess
import bergamotwall.gateway.workspaces.KeyRefusal
import bergamotwall.model.BatchRecord
import bergamotwall.model.NodeId
import bergamotwall.model.RequestId
import com.github.michaelbull.result.fold

/** Dependencies of [Explainer]; the confirmations are as in [bergamotwall.gateway.Gateway]. */
internal data class ExplainerDependencies(
    val self: NodeId,
    val targets: TargetDependencies,
    val keys: CallerKeys,
    val leave: Leave,
    val forwarding: ForwardingView,
    val batches: Batches,
    val configuration: () -> WatchConfirmation?,
    val configurationCurrent: () -> Boolean,
    val targetsConfirmation: () -> WatchConfirmation?,
)

/**
 * Explains where a request or a batch would be sent now, and why, by the decision functions of the real path. Sends
 * nothing and changes no state: no counter, budget or estimate, no remembered stream, no entry of the journal.
 */
public class Explainer internal constructor(private val dependencies: ExplainerDependencies) {
    private val clock = dependencies.targets.clock
    private val gatewayState = dependencies.targets.gatewayState

    /** The explanation of [question]. */
    public suspend fun explain(question: ExplainQuestion): Explanation {
        val table = gatewayState.routes.read()
        val known =
            Explanation(
                process = dependencies.self.value,
                configuration = table.revision.value,
                configurationAgeMillis = dependencies.configuration()?.ageMillis(clock),
                targetsAgeMillis = dependencies.targetsConfirmation()?.ageMillis(clock),
            )
        val route = table.find(question.host, question.path)
        return when {
            !table.known -> known.refused(RequestRefusal(UNAVAILABLE, "no configuration is known yet"))
            question.aboutBatch ->
                known.copy(choice = "this process, which asks the batch's owner or the key-value service")
            route == null -> noRoute(known, question)
            else -> explainRoute(known.copy(route = explained(route)), question, table, route)
        }
    }

    private fun noRoute(
        known: Explanation,
        question: ExplainQuestion,
    ): Explanation {
        val refusal =
            if (dependencies.configurationCurrent()) {
                RequestRefusal(NOT_FOUND, "no route matches")
            } else {
                RequestRefusal(UNAVAILABLE, "no route matches, but the configuration may be outdated")
            }
        return known.refused(refusal, "a route for host ${question.host} whose prefix matches the path")
    }

    private suspend fun explainRoute(
        known: Explanation,
        question: ExplainQuestion,
        table: RouteTable,
        route: Route,
    ): Explanation =
        when (val access = dependencies.keys.check(question.keys, route.public)) {
            is KeyAccess.Refused ->
                known.refused(
                    RequestRefusal(access.refusal.status, access.refusal.detail),
                    if (access.refusal.retryable) "a newer proof of the configuration" else "a key of a workspace",
                )
            is KeyAccess.Granted -> {
                val workspace = access.workspace
                val priority = workspace?.let { table.workspaces.priorityOf(it) }
                val granted = known.copy(workspace = workspace?.value, workspacePriority = priority)
                when {
                    route.kind != RouteKind.BATCH -> explainRequest(granted, question, route, access)
                    question.method != "POST" ->
                        granted.refused(
                            RequestRefusal(METHOD_NOT_ALLOWED, "a batch is submitted with POST"),
                            "method POST",
                        )
                    else ->
                        question.batch(access).fold(
                            success = { explainBatch(granted, it, route) },
                            failure = { granted.refused(it, "another submission") },
                        )
                }
            }
        }

    private fun explainRequest(
        known: Explanation,
        question: ExplainQuestion,
        route: Route,
        access: KeyAccess.Granted,
    ): Explanation {
        val longestMillis = route.longestMillis(question.deadlineMillis)
        val leave = dependencies.leave
        val patienceMillis = minOf(longestMillis, leave.remainingMillis ?: longestMillis)
        val request = callOf(question, access, patienceMillis)
        val limits =
            ExplainedLimits(
                longestMillis = patienceMillis,
                maxAttempts = route.maxAttempts,
                repeatable = route.retryable,
                hedgeAfterMillis = dependencies.forwarding.hedgeMillis(request, route),
                leavingMillis = leave.remainingMillis,
            )
        val limited = known.copy(limits = limits)
        val malformed = question.malformed(route)
        return when {
            malformed != null -> limited.refused(RequestRefusal(BAD_REQUEST, malformed))
            !leave.wouldAccept(longestMillis) ->
                limited.refused(
                    RequestRefusal(UNAVAILABLE, "this process is leaving", retryAfterMillis = 0),
                    "another process, or a deadline below ${leave.remainingMillis} ms",
                )
            else -> forwarded(limited, dependencies.forwarding.explain(request, route), route)
        }
    }

    private fun forwarded(
        known: Explanation,
        outcome: ForwardingView.Outcome,
        route: Route,
    ): Explanation {
        val streamNote = "the prompt is no input: a stream is placed by expected time".takeIf {
            route.kind == RouteKind.STREAM
        }
        val explained =
            known.copy(
                services = outcome.services,
                notes = outcome.notes + listOfNotNull(outcome.unknown, streamNote),
                changes = outcome.changes,
            )
        val refusal = outcome.refusal
        return when {
            refusal != null ->
                explained.refused(RequestRefusal(UNAVAILABLE, refusal.reason, refusal.retryAfterMillis))
            outcome.unknown != null -> explained
            else -> explained.copy(admitted = true, choice = choiceOf(outcome.services))
        }
    }

    private fun choiceOf(services: List<ExplainedService>): String {
        val single = services.singleOrNull()
        val total = services.sumOf { it.weight }
        return single?.let { "target ${it.choice}" }
            ?: services.joinToString("; ") { service ->
                val choice = service.choice?.let { "target $it" } ?: "refused"
                "service ${service.name} for ${service.weight} of $total requests: $choice"
            }
    }

    private suspend fun explainBatch(
        known: Explanation,
        record: BatchRecord,
        route: Route,
    ): Explanation {
        val peek = dependencies.batches.submissionView.peek(record, route)
        val owner = peek.transferTarget?.id ?: dependencies.self
        val limited =
            known.copy(
                owner = owner.value,
                limits = ExplainedLimits(route.batch?.runTargetMillis ?: 0, route.maxAttempts, repeatable = true),
                notes = listOf("items of a group go to the same target while it has a free slot"),
            )
        val refusal =
            when (val decided = peek.decided.takeIf { peek.transferTarget == null }) {
                is SubmitOutcome.Refused -> RequestRefusal(UNAVAILABLE, decided.reason, decided.retryAfterMillis)
                SubmitOutcome.Foreign ->
                    RequestRefusal(KeyRefusal.FOREIGN_BATCH.status, KeyRefusal.FOREIGN_BATCH.detail)
                else -> null
            }
        return when {
            refusal != null -> limited.refused(refusal, "another process")
            peek.transferTarget != null ->
                limited.copy(
                    choice = "process ${owner.value}, the assigned owner of the route",
                    notes = limited.notes + "the owner decides whether it accepts the batch, and where its items go; " +
                        "ask it for the targets",
                    changes = listOf("other ready entries, or other routes for batches: they decide the owner"),
                )
            peek.decided == SubmitOutcome.Accepted ->
                limited.copy(admitted = true, choice = "no further run: this process already has a batch with this id")
            else -> ownBatch(limited, record, route, peek)
        }
    }

    private fun ownBatch(
        known: Explanation,
        record: BatchRecord,
        route: Route,
        peek: SubmissionPeek,
    ): Explanation {
        val perTarget = peek.items.assigned.values.groupingBy { it }.eachCount()
        val services = route.shares.map { share ->
            val views = peek.items.targets.filter { it.target.service == share.service }
            val targets = views.map { view ->
                val id = view.target.id
                explainedTarget(view, itemVerdictOf(view, id in peek.items.eligible, perTarget[id] ?: 0))
            }
            val service = ExplainedService(share.service.value, share.weight, targets = targets)
            service to changesOf(views, service)
        }
        val waiting = record.items.size - peek.items.assigned.size
        return known.copy(
            admitted = true,
            services = services.map { it.first },
            items = record.items.map { ExplainedItem(it.id.value, peek.items.assigned[it.id]?.value) },
            choice = "this process; ${peek.items.assigned.size} items would be sent now, $waiting would wait",
            notes = known.notes + "${peek.items.waitingBefore} items of other batches wait here",
            changes = if (waiting > 0) services.flatMap { it.second } + FREE_SLOT else emptyList(),
        )
    }

    private fun callOf(
        question: ExplainQuestion,
        access: KeyAccess.Granted,
        patienceMillis: Long,
    ): CallerRequest {
        val nowMillis = clock.monotonicMillis()
        return CallerRequest(
            id = RequestId(question.id),
            method = question.method,
            path = question.path,
            headers = emptyList(),
            body = question.body,
            arrivedAtMillis = nowMillis,
            deadlineAtMillis = nowMillis + patienceMillis,
            resume = question.resume,
            purpose = SendPurpose.REQUEST,
            workspace = access.workspace,
        )
    }

    private fun Explanation.refused(
        refusal: RequestRefusal,
        change: String? = null,
    ): Explanation =
        copy(
            admitted = false,
            status = refusal.status,
            reason = refusal.reason,
            retryAfterMillis = refusal.retryAfterMillis,
            changes = changes + listOfNotNull(change),
        )

    private companion object {
        private const val BAD_REQUEST = 400
        private const val NOT_FOUND = 404
        private const val METHOD_NOT_ALLOWED = 405
        private const val UNAVAILABLE = 503
        private const val FREE_SLOT = "a free slot at a target whose weights the batch allows"
    }
}

private fun explained(route: Route): ExplainedRoute =
    ExplainedRoute(route.name, route.host, route.pathPrefix, route.kind.name.lowercase(), route.priority, route.public)
