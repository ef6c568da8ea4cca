package bergamotwall.entry

import bergamotwall.decisions.admission.FailedAttempt
import bergamotwall.decisions.admission.RetryDecision
import bergamotwall.decisions.admission.decideRetry
import bergamotwall.drivers.ServiceDriver
import bergamotwall.drivers.ServiceResponse
import bergamotwall.drivers.TargetError
import bergamotwall.model.DispatchRequest
import bergamotwall.model.PermitGranted
import bergamotwall.model.Problem
import bergamotwall.model.RequestId
import bergamotwall.model.RunOutcome
import bergamotwall.model.TargetId
import bergamotwall.model.WeightVersion
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Node
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.delay

/** [ServiceCalls] over the permits and targets of the fleet. */
internal class ServiceRunner(
    private val node: Node,
    private val permits: PermitSource,
    private val services: ServiceDriver,
    private val retryBudgets: RetryBudgets,
) : ServiceCalls {
    override suspend fun run(
        call: ServiceCall,
        trace: String,
    ): Result<ServiceResponse, Problem> {
        retryBudgets.recordFirstAttempt(call.caller.name.value)
        var attempt = 1
        var lastFailed: TargetId? = null
        var result: Result<ServiceResponse, Problem>? = null
        while (result == null) {
            val dispatchRequest = dispatchRequest(call, attempt, lastFailed)
            result =
                permits.acquire(dispatchRequest, trace).fold(
                    success = { permit ->
                        lastFailed = permit.target
                        attempt(call, dispatchRequest, permit).fold({ Ok(it) }, { handleFailure(call, attempt, it) })
                    },
                    failure = { Err(it) },
                )
            attempt++
        }
        return result
    }

    /** The final result after a failed attempt, or null, once the backoff is over, if the call is to be retried. */
    private suspend fun handleFailure(
        call: ServiceCall,
        attempt: Int,
        error: TargetError,
    ): Result<ServiceResponse, Problem>? {
        val failed =
            FailedAttempt(
                attempt = attempt,
                outcome = outcomeOf(error),
                idempotent = call.idempotent,
                budgetLeft = retryBudgets.tryTake(call.caller.name.value),
                nowMillis = node.clock.monotonicMillis(),
                deadlineMillis = call.deadlineMillis,
            )
        val decision = decideRetry(failed, node.random)
        node.journal.record(Decision("request/${call.id.value}", decision.toString(), error.detail, "attempt $attempt"))
        return when (decision) {
            is RetryDecision.GiveUp ->
                Err(Problem(decision.kind, "${decision.rule}: ${error.detail}", decision.runState, RETRY_AFTER_MILLIS))
            is RetryDecision.Retry -> {
                delay(decision.delayMillis)
                null
            }
        }
    }

    private suspend fun attempt(
        call: ServiceCall,
        dispatchRequest: DispatchRequest,
        permit: PermitGranted,
    ): Result<ServiceResponse, TargetError> {
        val startedMillis = node.clock.monotonicMillis()
        var outcome = RunOutcome.CANCELLED
        try {
            val leftMillis = maxOf(1, call.deadlineMillis - startedMillis)
            val result = services.call(permit.address, call.request.copy(timeoutMillis = leftMillis))
            outcome = result.fold({ RunOutcome.WHOLE }, { outcomeOf(it) })
            return result
        } finally {
            permits.finish(finishedOf(dispatchRequest, permit, outcome, node.clock.monotonicMillis() - startedMillis))
        }
    }

    private fun dispatchRequest(
        call: ServiceCall,
        attempt: Int,
        lastFailed: TargetId?,
    ): DispatchRequest =
        DispatchRequest(
            id = RequestId("${call.id.value}.$attempt"),
            requester = node.id,
            serves = call.service,
            priorityClass = call.priorityClass,
            flow = call.caller.name.value,
            sequence = 0,
            prefix = call.fingerprint.value,
            fingerprint = call.fingerprint,
            minVersion = WeightVersion(0),
            expectedTokens = 1,
            deadlineInMillis = call.deadlineMillis - node.clock.monotonicMillis(),
            excluded = setOfNotNull(lastFailed),
            dataCentre = node.settings.dataCentre,
        )

    private companion object {
        private const val RETRY_AFTER_MILLIS = 1_000L
    }
}
