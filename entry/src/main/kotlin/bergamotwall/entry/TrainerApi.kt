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

/** Request body that publishes a weight version. */
@Serializable
internal data class Publication(val version: Long)

/** Response to an order whose batch is not yet complete. */
@Serializable
internal data class BatchProgress(val ready: Int, val wanted: Int)

/** Serves `/v1/trainers/{name}/…`: orders for batches and publications of weight versions. */
internal class TrainerApi(
    private val publications: Publications,
    private val authenticator: Authenticator,
    private val coordinator: BatchCoordinator,
) {
    suspend fun batch(
        context: ServiceRequestContext,
        request: AggregatedHttpRequest,
    ): HttpResponse {
        val accepted: Result<AcceptedOrder, Problem> =
            binding {
                val trainer = authenticator.trainer(request.headers(), context.pathParam("name").orEmpty()).bind()
                val number = numberOf(context.pathParam("number")).bind()
                AcceptedOrder(
                    trainer,
                    number,
                    validated(readBody(BatchOrder.serializer(), request.contentUtf8()).bind()).bind()
                )
            }
        val order = accepted.fold({ it }, { return problemResponse(it) })
        return when (val response = coordinator.order(order.trainer, order.number, order.order)) {
            is BatchResponse.Ready -> jsonResponse(Batch.serializer(), response.batch)
            is BatchResponse.Pending ->
                jsonResponse(
                    BatchProgress.serializer(),
                    BatchProgress(response.ready, response.wanted),
                    HttpStatus.ACCEPTED
                )
            is BatchResponse.OwnedBy -> redirect("http://${response.member.httpAddress}${context.path()}")
            is BatchResponse.Refused -> problemResponse(response.problem)
        }
    }

    suspend fun publish(
        context: ServiceRequestContext,
        request: AggregatedHttpRequest,
    ): HttpResponse {
        val result =
            authenticator.trainer(request.headers(), context.pathParam("name").orEmpty()).fold(
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

    private fun validated(order: BatchOrder): Result<BatchOrder, Problem> {
        val valid = order.groups.isNotEmpty() && order.groups.all { it.enough in 1..it.n && it.maxTokens > 0 }
        val detail = "groups: give at least one, each with 1 <= enough <= n and maxTokens above 0"
        return if (valid) Ok(order) else Err(Problem(ProblemKind.BAD_REQUEST, detail))
    }

    private fun redirect(location: String): HttpResponse =
        HttpResponse.of(
            ResponseHeaders.builder(HttpStatus.TEMPORARY_REDIRECT).set(HttpHeaderNames.LOCATION, location).build(),
        )
}
