package bergamotwall.controller

import bergamotwall.drivers.http.EngineDriver
import bergamotwall.drivers.http.VmListSource
import bergamotwall.drivers.http.targetClient
import bergamotwall.model.NodeRole
import bergamotwall.model.NodeStatus
import bergamotwall.model.PeerMessage
import bergamotwall.model.Settings
import bergamotwall.model.StatusQuery
import bergamotwall.runtime.Node
import bergamotwall.runtime.aggregatedService
import bergamotwall.runtime.runNode
import com.linecorp.armeria.server.ServerBuilder
import kotlin.system.exitProcess

/** Starts a controller: the control path. Each copy can take any duty. */
public fun startController(settings: Settings): Node {
    val node = Node(settings, NodeRole.CONTROLLER)
    ControllerWiring(node).start()
    return node
}

private class ControllerWiring(private val node: Node) {
    private val client = targetClient()
    private val duties = Duties(node, EngineDriver(client))
    private val relay = Relay(node, VmListSource(client, node.settings.vmListAddress))
    private val operators = OperatorApi(node, Plans(node), ::status)

    fun start() {
        node.start({ message, _ -> answer(message) }, ::routes)
        relay.start()
        duties.start()
    }

    private fun answer(message: PeerMessage): PeerMessage =
        if (message is StatusQuery) status() else Node.notServed(message)

    private fun status(): NodeStatus =
        NodeStatus(
            node = node.settings.id,
            configuration = node.board.configuration.read().revision,
            vmList = node.board.vmList.read().revision,
            duties = duties.held() + if (relay.isRelay()) listOf("relay") else emptyList(),
        )

    private fun routes(builder: ServerBuilder) {
        val scope = node.scope
        builder.route().post("/v1/operator/plans").build(aggregatedService(scope) { _, r -> operators.planIntent(r) })
        builder.route().post("/v1/operator/drains").build(aggregatedService(scope) { _, r -> operators.planDrain(r) })
        builder
            .route()
            .post("/v1/operator/plans/{id}/confirm")
            .build(aggregatedService(scope) { c, _ -> operators.confirm(c) })
        builder.service("/v1/operator/status", aggregatedService(scope) { _, _ -> operators.status() })
        builder.service(
            "/v1/operator/explain",
            aggregatedService(scope) { c, _ -> operators.explain(c.queryParams().get("subject").orEmpty()) },
        )
    }
}

/** Entry point of `bergamotwall-controller`. */
public fun main(args: Array<String>) {
    exitProcess(runNode("controller", args, ::startController))
}
