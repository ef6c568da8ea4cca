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

/** Starts a controller, a process of the control path. Every controller can become the leader of any rollout. */
public fun startController(settings: Settings): Node {
    val node = Node(settings, NodeRole.CONTROLLER)
    ControllerWiring(node).start()
    return node
}

private class ControllerWiring(private val node: Node) {
    private val client = targetClient()
    private val leaderships = RolloutLeaderships(node, EngineDriver(client))
    private val relay = Relay(node, VmListSource(client, node.settings.vmListAddress))
    private val operatorApi = OperatorApi(node, PlanService(node), ::status)

    fun start() {
        node.start({ message, _ -> handle(message) }, ::routes)
        relay.start()
        leaderships.start()
    }

    private fun handle(message: PeerMessage): PeerMessage =
        if (message is StatusQuery) status() else Node.notServed(message)

    private fun status(): NodeStatus =
        NodeStatus(
            node = node.settings.id,
            configuration = node.fleetState.configuration.read().revision,
            vmList = node.fleetState.vmList.read().revision,
            duties = leaderships.heldNames() + if (relay.isRelay()) listOf("relay") else emptyList(),
        )

    private fun routes(builder: ServerBuilder) {
        val scope = node.scope
        builder.route().post("/v1/operator/plans").build(aggregatedService(scope) { _, r -> operatorApi.planIntent(r) })
        builder.route().post("/v1/operator/drains").build(aggregatedService(scope) { _, r -> operatorApi.planDrain(r) })
        builder
            .route()
            .post("/v1/operator/plans/{id}/confirm")
            .build(aggregatedService(scope) { c, _ -> operatorApi.confirm(c) })
        builder.service("/v1/operator/status", aggregatedService(scope) { _, _ -> operatorApi.status() })
        builder.service(
            "/v1/operator/explain",
            aggregatedService(scope) { c, _ -> operatorApi.explain(c.queryParams().get("subject").orEmpty()) },
        )
    }
}

/** Entry point of `bergamotwall-controller`. */
public fun main(args: Array<String>) {
    exitProcess(runNode("controller", args, ::startController))
}
