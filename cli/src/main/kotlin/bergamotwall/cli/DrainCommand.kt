package bergamotwall.cli

import bergamotwall.model.DrainRequest
import bergamotwall.model.Jsons
import bergamotwall.model.Plan
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import picocli.CommandLine.ParentCommand
import picocli.CommandLine.Spec
import java.util.concurrent.Callable

/** Plans to drain a target or a node, or to undo a drain. */
@Command(
    name = "drain",
    description = ["Plan to drain a target or a node, so that it gets no new work."],
    mixinStandardHelpOptions = true
)
internal class DrainCommand : Callable<Int> {
    @ParentCommand
    private lateinit var root: RootCommand

    @Spec
    private lateinit var spec: CommandSpec

    @Parameters(paramLabel = "ID", description = ["ID of the target or node, as shown by status."])
    private lateinit var id: String

    @Option(names = ["--reason"], defaultValue = "", description = ["Reason, shown with the drain."])
    private lateinit var reason: String

    @Option(names = ["--undo"], description = ["End the drain: assign new work again."])
    private var undo = false

    @Option(names = ["--confirm"], description = ["Confirm the plan immediately."])
    private var confirm = false

    override fun call(): Int {
        val body = Jsons.wire.encodeToString(DrainRequest.serializer(), DrainRequest(id, reason, undo))
        val plan = root.client.post("/v1/operator/drains", body, Plan.serializer())
        return printPlan(root, plan, confirm, spec.commandLine().out)
    }
}
