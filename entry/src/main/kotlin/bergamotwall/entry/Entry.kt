package bergamotwall.entry

import bergamotwall.drivers.http.EngineDriver
import bergamotwall.drivers.http.ServiceDriver
import bergamotwall.drivers.http.targetClient
import bergamotwall.model.CompleteReceipt
import bergamotwall.model.DispatchPolicy
import bergamotwall.model.DispatchRequest
import bergamotwall.model.NodeRole
import bergamotwall.model.NodeStatus
import bergamotwall.model.PeerMessage
import bergamotwall.model.QueryReceipt
import bergamotwall.model.ReserveReceipt
import bergamotwall.model.RunFinished
import bergamotwall.model.Settings
import bergamotwall.model.StatusQuery
import bergamotwall.model.WithdrawRequest
import bergamotwall.runtime.AggregatedHandler
import bergamotwall.runtime.Node
import bergamotwall.runtime.aggregatedService
import bergamotwall.runtime.runNode
import com.linecorp.armeria.server.ServerBuilder
import kotlin.system.exitProcess

/** Starts an entry, the process that serves callers and trainers. */
public fun startEntry(settings: Settings): Node {
    val node = Node(settings, NodeRole.ENTRY)
    EntryWiring(node).start()
    return node
}

private class EntryWiring(private val node: Node) {
    private val client = targetClient()
    private val engines = EngineDriver(client)
    private val fleet = FleetView(node.fleetState)
    private val dispatchCoordinator = DispatchCoordinator(node, fleet, ReportPoller(node.scope, engines))
    private val permits = permitSource()
    private val retryBudgets = RetryBudgets()
    private val runner = GenerationRunner(node, permits, engines, retryBudgets)
    private val groups = GroupRunner(node, runner)
    private val writer = ReceiptWriter(node.store, node.clock)
    private val receipts = Receipts(node, fleet, writer)
    private val authenticator = Authenticator(node.fleetState)
    private val serviceRunner = ServiceRunner(node, permits, ServiceDriver(client), retryBudgets)
    private val batchCoordinator =
        BatchCoordinator(
            node,
            fleet,
            groups,
            SampleStores(node, fleet),
            Manifests(node.store),
            SampleScorer(node, serviceRunner),
        )
    private val completions = CompletionApi(node, authenticator, groups)
    private val services = ServiceApi(node, ServiceCallReader(node, authenticator), serviceRunner, receipts)
    private val trainers = TrainerApi(Publications(node), authenticator, batchCoordinator)
    private val entries = EntriesApi(node)

    private fun permitSource(): PermitSource {
        val policy = node.settings.dispatch
        return if (policy == DispatchPolicy.SHARDS) {
            ShardedPermitSource(node, fleet, dispatchCoordinator)
        } else {
            BaselinePermitSource(node, policy)
        }
    }

    fun start() {
        writer.start(node.scope)
        node.start({ message, _ -> handle(message) }, ::routes)
        dispatchCoordinator.start()
    }

    private suspend fun handle(message: PeerMessage): PeerMessage =
        when (message) {
            is DispatchRequest -> dispatchCoordinator.dispatch(message)
            is WithdrawRequest -> dispatchCoordinator.withdraw(message)
            is RunFinished -> dispatchCoordinator.finished(message)
            is ReserveReceipt, is CompleteReceipt, is QueryReceipt -> receipts.handle(message)
            is StatusQuery -> status()
            else -> Node.notServed(message)
        }

    private suspend fun status(): NodeStatus =
        NodeStatus(
            node = node.settings.id,
            configuration = node.fleetState.configuration.read().revision,
            vmList = node.fleetState.vmList.read().revision,
            trainers = batchCoordinator.status(),
            shards = dispatchCoordinator.status(),
        )

    private fun routes(builder: ServerBuilder) {
        builder.post("/v1/completions") { c, r -> completions.serve(c, r, ::readCompletion) }
        builder.post("/v1/chat/completions") { c, r -> completions.serve(c, r, ::readChat) }
        builder.post("/v1/trainers/{name}/batches/{number}") { c, r -> trainers.batch(c, r) }
        builder.post("/v1/trainers/{name}/versions") { c, r -> trainers.publish(c, r) }
        builder.service("/v1/entries") { c, _ -> entries.serve(c.queryParams()) }
        builder.service("/services/{name}", aggregatedService(node.scope, services::serve))
        builder.service("/services/{name}/{*rest}", aggregatedService(node.scope, services::serve))
    }

    private fun ServerBuilder.post(
        path: String,
        handler: AggregatedHandler,
    ) {
        route().post(path).build(aggregatedService(node.scope, handler))
    }
}

/** Entry point of `bergamotwall-entry`. */
public fun main(args: Array<String>) {
    exitProcess(runNode("entry", args, ::startEntry))
}
