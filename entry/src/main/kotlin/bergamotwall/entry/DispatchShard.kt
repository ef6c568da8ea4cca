package bergamotwall.entry

import bergamotwall.decisions.DispatchDecision
import bergamotwall.decisions.DispatchEvent
import bergamotwall.decisions.DispatchLimits
import bergamotwall.decisions.DispatchLoad
import bergamotwall.decisions.Dispatcher
import bergamotwall.model.CrashRecord
import bergamotwall.model.Granted
import bergamotwall.model.Offer
import bergamotwall.model.PeerMessage
import bergamotwall.model.PeerRefusal
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

/** Drives the [Dispatcher] of one shard: one coroutine at a time, answers to those who wait. */
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

    /** Waits for a permit; leaves the queue if the caller's coroutine is cancelled. */
    suspend fun offer(offer: Offer): PeerMessage {
        val answer = CompletableDeferred<PeerMessage>()
        withContext(confined) {
            waiting.put(offer.request, answer)?.complete(offeredAgain)
            process(DispatchEvent.Offered(offer))
        }
        try {
            return answer.await()
        } finally {
            if (!answer.isCompleted) withContext(NonCancellable + confined) { giveUp(offer.request, answer) }
        }
    }

    /** Tells the dispatcher of [event]. */
    suspend fun tell(event: DispatchEvent): Unit = withContext(confined) { process(event) }

    suspend fun load(): DispatchLoad = withContext(confined) { dispatcher.load(clock.monotonicMillis()) }

    /** Takes over [heard] crash evidence and returns its own, for the clock that all nodes share. */
    suspend fun exchangeCrashes(heard: List<CrashRecord>): List<CrashRecord> =
        withContext(confined) {
            val offsetMillis = clock.wallMillis() - clock.monotonicMillis()
            val local = heard.map { it.copy(expiresAtMillis = it.expiresAtMillis - offsetMillis) }
            if (local.isNotEmpty()) process(DispatchEvent.CrashesHeard(local))
            dispatcher
                .crashRecords(clock.monotonicMillis())
                .map { it.copy(expiresAtMillis = it.expiresAtMillis + offsetMillis) }
        }

    private fun process(event: DispatchEvent) {
        dispatcher.handle(event, clock.monotonicMillis()).forEach { deliver(it) }
    }

    private fun giveUp(
        request: RequestId,
        answer: CompletableDeferred<PeerMessage>,
    ) {
        if (waiting.remove(request, answer)) process(DispatchEvent.Withdrawn(request))
    }

    private fun deliver(decision: DispatchDecision) {
        val answer =
            when (decision) {
                is DispatchDecision.Grant -> Granted(decision.target, decision.address)
                is DispatchDecision.Refuse -> PeerRefusal(decision.problem)
            }
        val verb = if (decision is DispatchDecision.Grant) "granted ${decision.target.value}" else "refused"
        journal.record(Decision("request/${decision.request.value}", verb, decision.rule, "offer to $name"))
        waiting.remove(decision.request)?.complete(answer)
    }

    private companion object {
        private val offeredAgain = PeerRefusal(Problem(ProblemKind.CONFLICT, "the same request was offered again"))
    }
}
