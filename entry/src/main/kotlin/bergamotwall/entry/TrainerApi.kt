package bergamotwall.entry

import bergamotwall.model.Batch
import bergamotwall.model.BatchOrder
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.PublishedVersion
import bergamotwall.model.TrainerIntent
import bergamotwall.model.WeightVersion
import bergamotwall.runtime.jsonResponse
import bergamotwall.runtime.problemResponse
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.binding
import com.github.michaelbull.result.fold
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.serialization.Serializable

/** Body of a publication. */
@Serializable
internal data class Publication(val version: Long)

/** Answer to an order whose batch is not yet whole. */
@Serializable
internal data class BatchProgress(val ready: Int, val wanted: Int)

/** Serves `/v1/trainers/{name}/…`: orders of batches and publications of weight versions. */
internal class TrainerApi(
    private val publications: Publications,
    private val identity: Identity,
    private val coordinator: BatchCoordinator,
) {
    suspend fun batch(
        context: ServiceRequestContext,
        request: AggregatedHttpRequest,
    ): HttpResponse {
        val accepted: Result<AcceptedOrder, Problem> =
            binding {
                val trainer = identity.trainer(request.headers(), context.pathParam("name").orEmpty()).bind()
                val number = numberOf(context.pathParam("number")).bind()
                AcceptedOrder(
                    trainer,
                    number,
                    checked(readBody(BatchOrder.serializer(), request.contentUtf8()).bind()).bind()
                )
            }
        val order = accepted.fold({ it }, { return problemResponse(it) })
        return when (val answer = coordinator.order(order.trainer, order.number, order.order)) {
            is BatchAnswer.Ready -> jsonResponse(Batch.serializer(), answer.batch)
            is BatchAnswer.Pending ->
                jsonResponse(
                    BatchProgress.serializer(),
                    BatchProgress(answer.ready, answer.wanted),
                    HttpStatus.ACCEPTED
                )
            is BatchAnswer.Elsewhere -> redirect("http://${answer.member.httpAddress}${context.path()}")
            is BatchAnswer.Refused -> problemResponse(answer.problem)
        }
    }

    suspend fun publish(
        context: ServiceRequestContext,
        request: AggregatedHttpRequest,
    ): HttpResponse {
        val result =
            identity.trainer(request.headers(), context.pathParam("name").orEmpty()).fold(
                success = { trainer ->
                    readBody(Publication.serializer(), request.contentUtf8())
                        .fold({ publications.record(trainer, WeightVersion(it.version)) }, { Err(it) })
                },
                failure = { Err(it) },
            )
        return result.fold({ jsonResponse(PublishedVersion.serializer(), it) }, { problemResponse(it) })
    }

    private class AcceptedOrder(val trainer: TrainerIntent, val number: Long, val order: BatchOrder)

    private fun numberOf(text: String?): Result<Long, Problem> {
        val number = text?.toLongOrNull()?.takeIf { it > 0 }
        return if (number == null) Err(Problem(ProblemKind.BAD_REQUEST, "batch number: use 1 or more")) else Ok(number)
    }

    private fun checked(order: BatchOrder): Result<BatchOrder, Problem> {
        val sound = order.groups.isNotEmpty() && order.groups.all { it.enough in 1..it.n && it.maxTokens > 0 }
        val fix = "groups: give at least one, each with 1 <= enough <= n and maxTokens above 0"
        return if (sound) Ok(order) else Err(Problem(ProblemKind.BAD_REQUEST, fix))
    }

    private fun redirect(location: String): HttpResponse =
        HttpResponse.of(
            ResponseHeaders.builder(HttpStatus.TEMPORARY_REDIRECT).set(HttpHeaderNames.LOCATION, location).build(),
        )
}
