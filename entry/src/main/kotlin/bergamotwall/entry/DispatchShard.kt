package bergamotwall.entry

import bergamotwall.decisions.placement.DispatchDecision
import bergamotwall.decisions.placement.DispatchEvent
import bergamotwall.decisions.placement.DispatchLimits
import bergamotwall.decisions.placement.DispatchLoad
import bergamotwall.decisions.placement.Dispatcher
import bergamotwall.model.CrashRecord
import bergamotwall.model.DispatchRequest
import bergamotwall.model.PeerMessage
import bergamotwall.model.PeerRefusal
import bergamotwall.model.PermitGranted
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.RequestId
import bergamotwall.runtime.Clock
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Journal
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import kotlin.random.Random

/** Runs the [Dispatcher] of one shard on one thread at a time and responds to the requests that wait for a permit. */
internal class DispatchShard(
    val name: String,
    weightOf: (String) -> Int,
    random: Random,
    private val clock: Clock,
    private val journal: Journal,
) {
    @OptIn(ExperimentalCoroutinesApi::class)
    private val confined = Dispatchers.Default.limitedParallelism(1)
    private val dispatcher = Dispatcher(DispatchLimits(), weightOf, random)
    private val waiting = HashMap<RequestId, CompletableDeferred<PeerMessage>>()

    /** Waits for a permit. If the calling coroutine is cancelled, the request is withdrawn. */
    suspend fun dispatch(request: DispatchRequest): PeerMessage {
        val response = CompletableDeferred<PeerMessage>()
        withContext(confined) {
            waiting.put(request.id, response)?.complete(duplicate)
            process(DispatchEvent.RequestReceived(request))
        }
        try {
            return response.await()
        } finally {
            if (!response.isCompleted) withContext(NonCancellable + confined) { withdraw(request.id, response) }
        }
    }

    /** Passes [event] to the dispatcher. */
    suspend fun handle(event: DispatchEvent): Unit = withContext(confined) { process(event) }

    suspend fun load(): DispatchLoad = withContext(confined) { dispatcher.load(clock.monotonicMillis()) }

    /**
     * Merges the [received] crash records into the dispatcher's and returns the dispatcher's own. Expiry times are in
     * wall-clock time on the outside and in monotonic time inside the dispatcher.
     */
    suspend fun exchangeCrashRecords(received: List<CrashRecord>): List<CrashRecord> =
        withContext(confined) {
            val offsetMillis = clock.wallMillis() - clock.monotonicMillis()
            val local = received.map { it.copy(expiresAtMillis = it.expiresAtMillis - offsetMillis) }
            if (local.isNotEmpty()) process(DispatchEvent.CrashesReceived(local))
            dispatcher
                .crashRecords(clock.monotonicMillis())
                .map { it.copy(expiresAtMillis = it.expiresAtMillis + offsetMillis) }
        }

    private fun process(event: DispatchEvent) {
        dispatcher.handle(event, clock.monotonicMillis()).forEach { deliver(it) }
    }

    private fun withdraw(
        request: RequestId,
        response: CompletableDeferred<PeerMessage>,
    ) {
        if (waiting.remove(request, response)) process(DispatchEvent.Withdrawn(request))
    }

    private fun deliver(decision: DispatchDecision) {
        val response =
            when (decision) {
                is DispatchDecision.Grant -> PermitGranted(decision.target, decision.address)
                is DispatchDecision.Refuse -> PeerRefusal(decision.problem)
            }
        val outcome = if (decision is DispatchDecision.Grant) "granted ${decision.target.value}" else "refused"
        journal.record(Decision("request/${decision.request.value}", outcome, decision.rule, "requested from $name"))
        waiting.remove(decision.request)?.complete(response)
    }

    private companion object {
        private val duplicate =
            PeerRefusal(Problem(ProblemKind.CONFLICT, "a permit for this request was requested again"))
    }
}
