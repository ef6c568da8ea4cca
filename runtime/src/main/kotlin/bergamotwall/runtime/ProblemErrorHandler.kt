package bergamotwall.runtime

import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.RunState
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.ContentTooLargeException
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.server.HttpStatusException
import com.linecorp.armeria.server.ServerErrorHandler
import com.linecorp.armeria.server.ServiceConfig
import com.linecorp.armeria.server.ServiceRequestContext

/** Renders errors raised by the server itself as problem documents, as the handlers of the project do. */
internal object ProblemErrorHandler : ServerErrorHandler {
    override fun onServiceException(
        context: ServiceRequestContext,
        cause: Throwable,
    ): HttpResponse = problemResponse(problemOf(cause))

    override fun renderStatus(
        context: ServiceRequestContext?,
        config: ServiceConfig,
        headers: RequestHeaders?,
        status: HttpStatus,
        description: String?,
        cause: Throwable?,
    ): AggregatedHttpResponse {
        val problem = if (cause == null) problemOfStatus(status.code()) else problemOf(cause)
        return problemResponse(problem).aggregate().join()
    }

    private fun problemOf(cause: Throwable): Problem =
        when (cause) {
            is ContentTooLargeException ->
                Problem(ProblemKind.TOO_LARGE, "the body exceeds the size limit: send a smaller one")
            is HttpStatusException -> problemOfStatus(cause.httpStatus().code())
            else ->
                Problem(
                    ProblemKind.UNAVAILABLE,
                    "the process is stopping or the request failed: ${cause.message}",
                    RunState.UNKNOWN
                )
        }

    private fun problemOfStatus(status: Int): Problem {
        val kind = ProblemKind.entries.find { it.status == status } ?: ProblemKind.BAD_REQUEST
        return Problem(kind, "no such resource or method")
    }
}
