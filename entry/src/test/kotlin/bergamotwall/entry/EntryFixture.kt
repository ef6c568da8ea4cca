package bergamotwall.entry

import bergamotwall.drivers.EngineChunk
import bergamotwall.drivers.EngineDriver
import bergamotwall.drivers.EngineRequest
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.TargetError
import bergamotwall.model.CallerIntent
import bergamotwall.model.CallerName
import bergamotwall.model.Configuration
import bergamotwall.model.ConfigurationRevision
import bergamotwall.model.DataCentre
import bergamotwall.model.DispatchRequest
import bergamotwall.model.Intent
import bergamotwall.model.ModelIntent
import bergamotwall.model.ModelName
import bergamotwall.model.NodeId
import bergamotwall.model.NodeRole
import bergamotwall.model.PermitGranted
import bergamotwall.model.PriorityClass
import bergamotwall.model.Problem
import bergamotwall.model.RequestId
import bergamotwall.model.RunFinished
import bergamotwall.model.ServiceIntent
import bergamotwall.model.ServiceName
import bergamotwall.model.Settings
import bergamotwall.model.TargetId
import bergamotwall.model.TargetReport
import bergamotwall.model.TrainerIntent
import bergamotwall.model.TrainerName
import bergamotwall.model.WeightOrder
import bergamotwall.model.WeightVersion
import bergamotwall.runtime.Clock
import bergamotwall.runtime.Node
import bergamotwall.runtime.NodeDrivers
import bergamotwall.runtime.SystemClock
import bergamotwall.standins.fakes.MemoryPeers
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

/** A trainer that tolerates samples one version old. */
internal val trainer = TrainerIntent(TrainerName("t"), "t-key", ModelName("m"), stalenessBoundVersions = 1)

/** A configuration with one model, service, caller and trainer. */
internal val configuration =
    Configuration(
        revision = ConfigurationRevision(1),
        intents =
        listOf(
            Intent(
                name = "i",
                models = listOf(ModelIntent(ModelName("m"))),
                services = listOf(ServiceIntent(ServiceName("s"), listOf("/read"))),
                callers = listOf(CallerIntent(CallerName("c"), "c-key")),
                trainers = listOf(trainer),
            ),
        ),
    )

/** An entry node with fake drivers, not started. */
internal fun entryNode(
    id: String,
    store: KeyValueStore,
    peers: MemoryPeers = MemoryPeers(),
    clock: Clock = SystemClock,
): Node {
    val settings = Settings(NodeId(id), DataCentre("d"), "h:1", "$id:2", "h:3", "h:4")
    return Node(
        settings,
        NodeRole.ENTRY,
        NodeDrivers(clock, store, peers)
    ).also { it.replicator.adoptIfNewer(configuration, "test") }
}

/** Grants permits for [targets] in turn, and records the requests for permits and the returned permits. */
internal class FakePermitSource(private val targets: List<String>) : PermitSource {
    val requests = CopyOnWriteArrayList<DispatchRequest>()
    val finished = CopyOnWriteArrayList<RunFinished>()

    override suspend fun acquire(
        request: DispatchRequest,
        trace: String?,
    ): Result<PermitGranted, Problem> {
        val target = targets[requests.size % targets.size]
        requests += request
        return Ok(PermitGranted(TargetId(target), target))
    }

    override fun finish(finished: RunFinished) {
        this.finished += finished
    }
}

/**
 * Engines that follow a script. Each run lists the chunks as `text:version` and then how the run ends: `end`
 * (complete), `break` (connection lost), `refuse` (not started) or `reject` (invalid request).
 */
internal class ScriptedEngines(private vararg val runs: String) : EngineDriver {
    val requests = CopyOnWriteArrayList<EngineRequest>()
    private val next = AtomicInteger()

    override suspend fun report(address: String): Result<TargetReport, TargetError> = Ok(TargetReport())

    override suspend fun order(
        address: String,
        order: WeightOrder,
    ): Result<Unit, TargetError> = Ok(Unit)

    override suspend fun complete(
        address: String,
        request: EngineRequest,
        onChunk: suspend (EngineChunk) -> Unit,
    ): Result<Unit, TargetError> {
        requests += request
        val words = runs[next.getAndIncrement() % runs.size].split(' ')
        words.dropLast(1).forEach { word ->
            val (text, version) = word.split(':')
            onChunk(EngineChunk(text, 1, WeightVersion(version.toLong()), null))
        }
        return when (words.last()) {
            "end" -> Ok(Unit)
            "refuse" -> Err(TargetError.NotStarted("refused"))
            "reject" -> Err(TargetError.Rejected(400, "rejected"))
            else -> Err(TargetError.Broken("connection lost"))
        }
    }
}

/** A request for one generation with a deadline in one minute. */
internal fun generationRequest(
    node: Node,
    maxTokens: Int = 10,
): GenerationRequest =
    GenerationRequest(
        id = RequestId("r"),
        flow = "c",
        caller = CallerName("c"),
        priorityClass = PriorityClass.APPLICATION,
        sequence = 0,
        model = "m",
        prompt = "p",
        maxTokens = maxTokens,
        minVersion = { WeightVersion(0) },
        deadlineMillis = node.clock.monotonicMillis() + 60_000,
        trace = null,
    )
