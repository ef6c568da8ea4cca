package bergamotwall.controller

import bergamotwall.model.Confirmed
import bergamotwall.model.DocumentProblem
import bergamotwall.model.DrainRequest
import bergamotwall.model.ExplainAnswer
import bergamotwall.model.ExplainQuery
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
    private val plans: Plans,
    private val ownStatus: () -> NodeStatus,
) {
    suspend fun planIntent(request: AggregatedHttpRequest): HttpResponse =
        read(request.contentUtf8()).fold({ answer(plans.plan(it)) }, { problemResponse(it) })

    suspend fun planDrain(request: AggregatedHttpRequest): HttpResponse =
        readDocument(DrainRequest.serializer(), request.contentUtf8(), "body")
            .mapError { Problem(ProblemKind.BAD_REQUEST, it.toString()) }
            .fold({ answer(plans.plan(it)) }, { problemResponse(it) })

    suspend fun confirm(context: ServiceRequestContext): HttpResponse =
        plans
            .confirm(PlanId(context.pathParam("id").orEmpty()))
            .fold({ jsonResponse(Confirmed.serializer(), it) }, { problemResponse(it) })

    suspend fun status(): HttpResponse {
        val statuses = askAll(StatusQuery).mapNotNull { it.answer as? NodeStatus }
        val status =
            FleetStatus(
                configuration = node.board.configuration.read(),
                published = node.board.published.read().list(),
                members = node.board.members.read().sortedBy { it.id.value },
                vms = node.board.vmList.read().vms,
                nodes = (statuses + ownStatus()).sortedBy { it.node.value },
            )
        return jsonResponse(FleetStatus.serializer(), status)
    }

    suspend fun explain(subject: String): HttpResponse {
        if (subject.isBlank()) {
            return problemResponse(
                Problem(ProblemKind.BAD_REQUEST, "parameter subject: say what to explain")
            )
        }
        val answers = askAll(ExplainQuery(subject))
        val events = node.journal.find(subject) + answers.flatMap { (it.answer as? Explanation)?.events.orEmpty() }
        val unreachable = answers.filter { it.answer == null }.map { it.node }
        return jsonResponse(
            ExplainAnswer.serializer(),
            ExplainAnswer(subject, events.sortedBy { it.atMillis }, unreachable)
        )
    }

    private class Answer(val node: String, val answer: PeerMessage?)

    private suspend fun askAll(message: PeerMessage): List<Answer> =
        coroutineScope {
            node.board.members
                .read()
                .filter { it.id != node.settings.id && it.state != MemberState.DEAD }
                .map { member ->
                    async { Answer(member.id.value, node.peers.ask(member.peerAddress, message, ASK_MILLIS).get()) }
                }.awaitAll()
        }

    private fun answer(plan: Result<Plan, Problem>): HttpResponse =
        plan.fold({ jsonResponse(Plan.serializer(), it) }, { problemResponse(it) })

    private fun read(text: String): Result<Intent, Problem> {
        val intent = readDocument(Intent.serializer(), text, "intent").fold({ it }, { return Err(refused(listOf(it))) })
        val problems = validateIntent(intent, text, "intent")
        return if (problems.isEmpty()) Ok(intent) else Err(refused(problems))
    }

    private fun refused(problems: List<DocumentProblem>): Problem =
        Problem(ProblemKind.BAD_REQUEST, problems.joinToString("; ") { it.toString() })

    private companion object {
        private const val ASK_MILLIS = 2_000L
    }
}
