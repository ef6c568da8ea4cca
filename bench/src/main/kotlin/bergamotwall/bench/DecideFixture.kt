package bergamotwall.bench

import bergamotwall.decisions.placement.DispatchDecision
import bergamotwall.decisions.placement.DispatchEvent
import bergamotwall.decisions.placement.DispatchLimits
import bergamotwall.decisions.placement.DispatchTarget
import bergamotwall.decisions.placement.Dispatcher
import bergamotwall.decisions.placement.shardCount
import bergamotwall.decisions.placement.shardOfTarget
import bergamotwall.model.DataCentre
import bergamotwall.model.DispatchRequest
import bergamotwall.model.Fingerprint
import bergamotwall.model.NodeId
import bergamotwall.model.PriorityClass
import bergamotwall.model.RequestId
import bergamotwall.model.RunFinished
import bergamotwall.model.RunOutcome
import bergamotwall.model.TargetId
import bergamotwall.model.TargetReport
import bergamotwall.model.WeightVersion
import kotlin.random.Random

/** Dispatcher of the first shard of a fleet with [replicas], half of whose slots are in use; for the JMH benchmark. */
public class DecideFixture(replicas: Int) {
    private val dispatcher = Dispatcher(DispatchLimits(), { 1 }, Random(1))
    private val running = ArrayDeque<RequestId>()
    private var next = 0L

    init {
        val count = shardCount(replicas)
        val ids = List(replicas) { TargetId("engine-$it") }.filter { shardOfTarget(it, count) == 0 }
        dispatcher.handle(
            DispatchEvent.TargetsChanged(ids.map { DispatchTarget(it, "h:1", DataCentre("dc"), false) }),
            0
        )
        val report = TargetReport(version = WeightVersion(1), slots = SLOTS, bootId = "b")
        ids.forEach { dispatcher.handle(DispatchEvent.TargetReported(it, report), 0) }
        repeat(ids.size * SLOTS / 2) { running.addLast(dispatchRequest()) }
    }

    /** Dispatches one request and ends the oldest. Returns the result, so that the compiler keeps the work. */
    public fun decide(): Any {
        running.addLast(dispatchRequest())
        val oldest = running.removeFirst()
        val finished =
            RunFinished(
                oldest,
                "m",
                TargetId(""),
                Fingerprint(0),
                RunOutcome.WHOLE,
                FIRST_TOKEN_MILLIS,
                DURATION_MILLIS,
                1,
                emptyList()
            )
        return dispatcher.handle(DispatchEvent.RunEnded(finished), next)
    }

    private fun dispatchRequest(): RequestId {
        val id = RequestId("r${next++}")
        val request =
            DispatchRequest(
                id = id,
                requester = NodeId("n"),
                serves = "m",
                priorityClass = if (next % 2 == 0L) PriorityClass.APPLICATION else PriorityClass.TRAINING,
                flow = "f${next % FLOWS}",
                sequence = 0,
                prefix = next % PREFIXES,
                fingerprint = Fingerprint(next),
                minVersion = WeightVersion(1),
                expectedTokens = 1,
                deadlineInMillis = Long.MAX_VALUE / 2,
                dataCentre = DataCentre("dc"),
            )
        val decided = dispatcher.handle(DispatchEvent.RequestReceived(request), next)
        check(decided.single() is DispatchDecision.Grant)
        return id
    }

    private companion object {
        private const val SLOTS = 8
        private const val FLOWS = 4
        private const val PREFIXES = 1_000
        private const val FIRST_TOKEN_MILLIS = 20L
        private const val DURATION_MILLIS = 200L
    }
}
