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

/** Answers what the server itself refuses as a problem document, too. */
internal object ProblemErrors : ServerErrorHandler {
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
        val problem = if (cause == null) ofStatus(status.code()) else problemOf(cause)
        return problemResponse(problem).aggregate().join()
    }

    private fun problemOf(cause: Throwable): Problem =
        when (cause) {
            is ContentTooLargeException ->
                Problem(ProblemKind.TOO_LARGE, "the body is over the limit: send a smaller one")
            is HttpStatusException -> ofStatus(cause.httpStatus().code())
            else ->
                Problem(
                    ProblemKind.UNAVAILABLE,
                    "the process is stopping or failed: ${cause.message}",
                    RunState.UNKNOWN
                )
        }

    private fun ofStatus(status: Int): Problem {
        val kind = ProblemKind.entries.find { it.status == status } ?: ProblemKind.BAD_REQUEST
        return Problem(kind, "no such resource or method")
    }
}
