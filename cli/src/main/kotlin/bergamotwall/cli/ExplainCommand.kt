package bergamotwall.cli

import bergamotwall.model.ExplainResponse
import bergamotwall.model.JournalEvent
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Parameters
import picocli.CommandLine.ParentCommand
import picocli.CommandLine.Spec
import java.time.Instant
import java.util.concurrent.Callable

/** Prints the decisions about a subject, with the rule, cause and inputs of each. */
@Command(
    name = "explain",
    description = ["Show the decisions about a subject, from the journals of all nodes."],
    mixinStandardHelpOptions = true,
)
internal class ExplainCommand : Callable<Int> {
    @ParentCommand
    private lateinit var root: RootCommand

    @Spec
    private lateinit var spec: CommandSpec

    @Parameters(
        paramLabel = "SUBJECT",
        description = [
            "request/ID, group/ID, sample/ID, batch/TRAINER/N,",
            "replica/ID, revision/N, member/ID or duty/NAME.",
        ],
    )
    private lateinit var subject: String

    override fun call(): Int {
        val encoded = java.net.URLEncoder.encode(subject, Charsets.UTF_8)
        val response = root.client.get("/v1/operator/explain?subject=$encoded", ExplainResponse.serializer())
        return root.printResult(response, ExplainResponse.serializer(), spec.commandLine().out, ::text)
    }

    private fun text(response: ExplainResponse): String {
        val events =
            response.events
                .map { line(it) }
                .ifEmpty { listOf("no node has a recorded decision about ${response.subject}") }
        val missing = response.unreachable.map { "no response from $it: its decisions are missing" }
        return (events + missing).joinToString("\n")
    }

    private fun line(event: JournalEvent): String {
        val cause = event.cause.ifEmpty { "-" }
        val inputs = event.inputs.ifEmpty { "-" }
        return "${Instant.ofEpochMilli(event.atMillis)} ${event.node.value} ${event.subject}: ${event.decision}\n" +
            "    rule: ${event.rule}; cause: $cause; inputs: $inputs"
    }
}
