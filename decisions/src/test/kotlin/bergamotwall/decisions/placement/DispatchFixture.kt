package bergamotwall.decisions.placement

import bergamotwall.model.DataCentre
import bergamotwall.model.DispatchRequest
import bergamotwall.model.Fingerprint
import bergamotwall.model.NodeId
import bergamotwall.model.PriorityClass
import bergamotwall.model.ProblemKind
import bergamotwall.model.RequestId
import bergamotwall.model.RunFinished
import bergamotwall.model.RunOutcome
import bergamotwall.model.TargetId
import bergamotwall.model.TargetReport
import bergamotwall.model.WeightVersion
import kotlin.random.Random

/** A dispatcher with [targets] targets of [slots] slots each and a clock that the test sets. Collects its decisions. */
internal class DispatchFixture(
    targets: Int,
    slots: Int = 4,
    limits: DispatchLimits = DispatchLimits(),
    weights: Map<String, Int> = emptyMap(),
    seed: Long = 1,
) {
    private val dispatcher = Dispatcher(limits, { weights[it] ?: 1 }, Random(seed))
    private val ids = List(targets) { "t$it" }
    private val slotsPerTarget = slots
    var nowMillis = 1_000L
    val grants = LinkedHashMap<String, TargetId>()
    val refusals = LinkedHashMap<String, ProblemKind>()

    init {
        list()
        ids.forEach { report(it) }
    }

    fun list(stopping: Set<String> = emptySet()): Unit =
        handle(
            DispatchEvent.TargetsChanged(
                ids.map { DispatchTarget(TargetId(it), "h:1", DataCentre("dc"), it in stopping) },
            ),
        )

    fun report(
        target: String,
        version: Long = 1,
        swapping: Boolean = false,
        bootId: String = "boot-$target",
        running: Int = 0,
    ) {
        val report =
            TargetReport(
                version = WeightVersion(version),
                swappingTo = WeightVersion(version + 1).takeIf { swapping },
                running = running,
                slots = slotsPerTarget,
                bootId = bootId,
            )
        handle(DispatchEvent.TargetReported(TargetId(target), report))
    }

    @Suppress("LongParameterList") // tests set only the parameters that matter to them
    fun submit(
        id: String,
        priorityClass: PriorityClass = PriorityClass.TRAINING,
        flow: String = "f",
        sequence: Long = 0,
        content: Long = id.hashCode().toLong(),
        minVersion: Long = 0,
        deadlineMillis: Long = 60_000,
        excluded: Set<String> = emptySet(),
        fromBatch: Boolean = false,
    ): Unit =
        handle(
            DispatchEvent.RequestReceived(
                DispatchRequest(
                    id = RequestId(id),
                    requester = NodeId("n"),
                    serves = "m",
                    priorityClass = priorityClass,
                    flow = flow,
                    sequence = sequence,
                    prefix = content,
                    fingerprint = Fingerprint(content),
                    minVersion = WeightVersion(minVersion),
                    expectedTokens = 100,
                    deadlineInMillis = deadlineMillis,
                    excluded = excluded.map { TargetId(it) }.toSet(),
                    dataCentre = DataCentre("dc"),
                    fromBatch = fromBatch,
                ),
            ),
        )

    fun finish(
        id: String,
        outcome: RunOutcome = RunOutcome.WHOLE,
        firstTokenMillis: Long = 20,
        durationMillis: Long = 200,
    ): Unit =
        handle(
            DispatchEvent.RunEnded(
                RunFinished(
                    request = RequestId(id),
                    serves = "m",
                    target = grants.getValue(id),
                    fingerprint = Fingerprint(0),
                    outcome = outcome,
                    firstTokenMillis = firstTokenMillis,
                    durationMillis = durationMillis,
                    tokens = 10,
                    versions = emptyList(),
                ),
            ),
        )

    fun load(): DispatchLoad = dispatcher.load(nowMillis)

    fun handle(event: DispatchEvent) {
        dispatcher.handle(event, nowMillis).forEach { decision ->
            when (decision) {
                is DispatchDecision.Grant -> grants[decision.request.value] = decision.target
                is DispatchDecision.Refuse -> refusals[decision.request.value] = decision.problem.kind
            }
        }
    }
}
