package bergamotwall.controller

import bergamotwall.model.Confirmed
import bergamotwall.model.DocumentProblem
import bergamotwall.model.DrainRequest
import bergamotwall.model.ExplainQuery
import bergamotwall.model.ExplainResponse
import bergamotwall.model.Explanation
import bergamotwall.model.FleetStatus
import bergamotwall.model.Intent
import bergamotwall.model.MemberState
import bergamotwall.model.NodeStatus
import bergamotwall.model.PeerMessage
import bergamotwall.model.Plan
import bergamotwall.model.PlanId
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.StatusQuery
import bergamotwall.model.readDocument
import bergamotwall.model.validateIntent
import bergamotwall.runtime.Node
import bergamotwall.runtime.jsonResponse
import bergamotwall.runtime.problemResponse
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.mapError
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

/** Serves `/v1/operator/…`. */
internal class OperatorApi(
    private val node: Node,
    private val plans: PlanService,
    private val ownStatus: () -> NodeStatus,
) {
    suspend fun planIntent(request: AggregatedHttpRequest): HttpResponse =
        readIntent(request.contentUtf8()).fold({ planResponse(plans.plan(it)) }, { problemResponse(it) })

    suspend fun planDrain(request: AggregatedHttpRequest): HttpResponse =
        readDocument(DrainRequest.serializer(), request.contentUtf8(), "body")
            .mapError { Problem(ProblemKind.BAD_REQUEST, it.toString()) }
            .fold({ planResponse(plans.plan(it)) }, { problemResponse(it) })

    suspend fun confirm(context: ServiceRequestContext): HttpResponse =
        plans
            .confirm(PlanId(context.pathParam("id").orEmpty()))
            .fold({ jsonResponse(Confirmed.serializer(), it) }, { problemResponse(it) })

    suspend fun status(): HttpResponse {
        val statuses = queryAll(StatusQuery).mapNotNull { it.message as? NodeStatus }
        val status =
            FleetStatus(
                configuration = node.fleetState.configuration.read(),
                published = node.fleetState.published.read().list(),
                members = node.fleetState.members.read().sortedBy { it.id.value },
                vms = node.fleetState.vmList.read().vms,
                nodes = (statuses + ownStatus()).sortedBy { it.node.value },
            )
        return jsonResponse(FleetStatus.serializer(), status)
    }

    suspend fun explain(subject: String): HttpResponse {
        if (subject.isBlank()) {
            return problemResponse(
                Problem(ProblemKind.BAD_REQUEST, "parameter subject is missing: name the subject to explain")
            )
        }
        val responses = queryAll(ExplainQuery(subject))
        val events = node.journal.find(subject) + responses.flatMap { (it.message as? Explanation)?.events.orEmpty() }
        val unreachable = responses.filter { it.message == null }.map { it.node }
        return jsonResponse(
            ExplainResponse.serializer(),
            ExplainResponse(subject, events.sortedBy { it.atMillis }, unreachable)
        )
    }

    /** Response of [node]; [message] is null if none came. */
    private class NodeResponse(val node: String, val message: PeerMessage?)

    private suspend fun queryAll(query: PeerMessage): List<NodeResponse> =
        coroutineScope {
            node.fleetState.members
                .read()
                .filter { it.id != node.settings.id && it.state != MemberState.DEAD }
                .map { member ->
                    async {
                        NodeResponse(
                            member.id.value,
                            node.peers.sendRequest(member.peerAddress, query, QUERY_TIMEOUT_MILLIS).get()
                        )
                    }
                }.awaitAll()
        }

    private fun planResponse(plan: Result<Plan, Problem>): HttpResponse =
        plan.fold({ jsonResponse(Plan.serializer(), it) }, { problemResponse(it) })

    private fun readIntent(text: String): Result<Intent, Problem> {
        val intent =
            readDocument(Intent.serializer(), text, "intent").fold({ it }, { return Err(invalidIntent(listOf(it))) })
        val problems = validateIntent(intent, text, "intent")
        return if (problems.isEmpty()) Ok(intent) else Err(invalidIntent(problems))
    }

    private fun invalidIntent(problems: List<DocumentProblem>): Problem =
        Problem(ProblemKind.BAD_REQUEST, problems.joinToString("; ") { it.toString() })

    private companion object {
        private const val QUERY_TIMEOUT_MILLIS = 2_000L
    }
}
