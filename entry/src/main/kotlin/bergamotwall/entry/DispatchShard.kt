package bergamotwall.entry

import bergamotwall.decisions.DispatchDecision
import bergamotwall.decisions.DispatchLimits
import bergamotwall.decisions.DispatchLoad
import bergamotwall.decisions.DispatchTarget
import bergamotwall.decisions.Dispatcher
import bergamotwall.model.CrashRecord
import bergamotwall.model.Finished
import bergamotwall.model.Granted
import bergamotwall.model.NodeId
import bergamotwall.model.Offer
import bergamotwall.model.PeerMessage
import bergamotwall.model.PeerRefusal
import bergamotwall.model.RequestId
import bergamotwall.model.TargetId
import bergamotwall.model.TargetReport
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
        run {
            waiting.put(offer.request, answer)?.complete(Superseded)
            dispatcher.offer(offer, clock.monotonicMillis())
        }
        try {
            return answer.await()
        } finally {
            if (!answer.isCompleted) withContext(NonCancellable) { forget(offer.request, answer) }
        }
    }

    suspend fun withdraw(request: RequestId): Unit = run { dispatcher.withdraw(request, clock.monotonicMillis()) }

    suspend fun finished(finished: Finished): Unit = run { dispatcher.finished(finished, clock.monotonicMillis()) }

    suspend fun targets(targets: List<DispatchTarget>): Unit =
        run { dispatcher.targets(targets, clock.monotonicMillis()) }

    suspend fun report(
        target: TargetId,
        report: TargetReport,
    ): Unit = run { dispatcher.report(target, report, clock.monotonicMillis()) }

    suspend fun silent(target: TargetId): Unit = run { dispatcher.silent(target, clock.monotonicMillis()) }

    suspend fun tick(dead: List<NodeId>): Unit =
        run {
            dead.forEach { dispatcher.requesterLost(it, clock.monotonicMillis()) }
            dispatcher.tick(clock.monotonicMillis())
        }

    suspend fun load(): DispatchLoad = withContext(confined) { dispatcher.load(clock.monotonicMillis()) }

    /** Takes over [heard] crash evidence and returns its own, for the clock that all nodes share. */
    suspend fun exchangeCrashes(heard: List<CrashRecord>): List<CrashRecord> =
        withContext(confined) {
            val offsetMillis = clock.wallMillis() - clock.monotonicMillis()
            val local = heard.map { it.copy(expiresAtMillis = it.expiresAtMillis - offsetMillis) }
            dispatcher.mergeCrashes(local, clock.monotonicMillis())
            dispatcher
                .crashRecords(clock.monotonicMillis())
                .map { it.copy(expiresAtMillis = it.expiresAtMillis + offsetMillis) }
        }

    private suspend fun run(block: () -> Unit) {
        withContext(confined) {
            block()
            dispatcher.take().forEach { deliver(it) }
        }
    }

    private suspend fun forget(
        request: RequestId,
        answer: CompletableDeferred<PeerMessage>,
    ) {
        run {
            if (waiting.remove(request, answer)) dispatcher.withdraw(request, clock.monotonicMillis())
        }
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
        private val Superseded =
            PeerRefusal(
                bergamotwall.model.Problem(bergamotwall.model.ProblemKind.CONFLICT, "the same request was offered again"),
            )
    }
}
