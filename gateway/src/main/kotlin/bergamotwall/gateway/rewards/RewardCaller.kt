package bergamotwall.gateway.rewards

import bergamotwall.gateway.forwarding.CallerRequest
import bergamotwall.gateway.forwarding.ForwardOutcome
import bergamotwall.gateway.forwarding.RequestForwarder
import bergamotwall.gateway.http.Header
import bergamotwall.gateway.routes.Route
import bergamotwall.gateway.routes.RouteKind
import bergamotwall.gateway.targets.SendPurpose
import bergamotwall.gateway.targets.TargetDependencies
import bergamotwall.model.RewardCall
import bergamotwall.model.WorkspaceName
import java.util.Base64

/** Sends reward calls as callers' requests are sent, through [forwarder]. */
internal class RewardCaller(
    private val forwarder: RequestForwarder,
    private val dependencies: TargetDependencies,
) {
    /** Sends [call] of a batch of [workspace] over [route]; the target may work on it for up to [timeoutMillis]. */
    suspend fun send(
        call: RewardCall,
        workspace: WorkspaceName?,
        route: Route,
        timeoutMillis: Long,
    ): RewardOutcome {
        val nowMillis = dependencies.clock.monotonicMillis()
        val request =
            CallerRequest(
                id = call.id,
                method = "POST",
                path = call.path,
                headers = listOf(Header("Host", call.host)),
                body = Base64.getDecoder().decode(call.bodyBase64),
                arrivedAtMillis = nowMillis,
                deadlineAtMillis = nowMillis + timeoutMillis,
                purpose = SendPurpose.REWARD,
                workspace = workspace,
            )
        // Reward calls may be repeated, whatever the route allows its callers.
        return outcomeOf(forwarder.forward(request, route.copy(kind = RouteKind.IDEMPOTENT)))
    }

    private fun outcomeOf(outcome: ForwardOutcome): RewardOutcome =
        when (outcome) {
            is ForwardOutcome.Completed -> outcomeOf(outcome)
            is ForwardOutcome.NotRun -> RewardOutcome.NotRun(outcome.reason, outcome.retryAfterMillis)
            is ForwardOutcome.Failed -> RewardOutcome.Failed(outcome.reason, outcome.failedRuns)
            is ForwardOutcome.TimedOut -> RewardOutcome.Failed("timed out: ${outcome.reason}", outcome.failedRuns)
            is ForwardOutcome.Streaming -> {
                outcome.exchange.cancel()
                RewardOutcome.Failed("the response is a stream", 0)
            }
        }

    private fun outcomeOf(completed: ForwardOutcome.Completed): RewardOutcome {
        val signature = dependencies.protocol.read(completed.head).signature
        val successful = completed.head.status in SUCCESSFUL
        return if (successful && signature != null) {
            RewardOutcome.Scored(signature)
        } else {
            RewardOutcome.Failed("status ${completed.head.status}", completed.failedRuns)
        }
    }

    private companion object {
        private val SUCCESSFUL = 200..299
    }
}
