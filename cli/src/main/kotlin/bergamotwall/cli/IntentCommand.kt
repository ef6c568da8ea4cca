package bergamotwall.cli

import bergamotwall.model.Confirmed
import bergamotwall.model.DocumentProblem
import bergamotwall.model.FleetStatus
import bergamotwall.model.Intent
import bergamotwall.model.Jsons
import bergamotwall.model.Plan
import bergamotwall.model.readDocument
import bergamotwall.model.validateIntent
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import kotlinx.serialization.builtins.ListSerializer
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import picocli.CommandLine.ParentCommand
import picocli.CommandLine.Spec
import java.io.File
import java.io.PrintWriter

/** What concerns intents. */
@Command(name = "intent", description = ["Validate, plan, confirm and show intents."], mixinStandardHelpOptions = true)
internal class IntentCommand {
    @ParentCommand
    lateinit var root: RootCommand

    @Spec
    lateinit var spec: CommandSpec

    private val out: PrintWriter get() = spec.commandLine().out

    @Command(description = ["Check an intent file without a controller."])
    fun validate(
        @Parameters(paramLabel = "FILE") file: File,
    ): Int = checked(file).fold({ valid(file) }, { invalid(it) })

    @Command(description = ["Ask for the plan of an intent file. Nothing changes before it is confirmed."])
    fun plan(
        @Parameters(paramLabel = "FILE") file: File,
        @Option(names = ["--confirm"], description = ["Confirm the plan at once."]) confirm: Boolean,
    ): Int =
        checked(file).fold(
            success = { text ->
                planned(
                    root,
                    root.client.post("/v1/operator/plans", text, Plan.serializer()),
                    confirm,
                    out
                )
            },
            failure = { invalid(it) },
        )

    @Command(description = ["Confirm a plan. Confirming it twice applies it once."])
    fun confirm(
        @Parameters(paramLabel = "PLAN") id: String,
    ): Int = root.finish(confirmed(root, id), Confirmed.serializer(), out, ::confirmedText)

    @Command(description = ["Show the confirmed intents."])
    fun show(): Int {
        val intents = root.client.get("/v1/operator/status", FleetStatus.serializer()).map { it.configuration.intents }
        val format = ListSerializer(Intent.serializer())
        return root.finish(intents, format, out) { Jsons.pretty.encodeToString(format, it) }
    }

    private fun checked(file: File): Result<String, List<DocumentProblem>> {
        if (!file.isFile) {
            return Err(
                listOf(DocumentProblem(file.path, 1, "FILE", "no such file", "name an existing file"))
            )
        }
        val text = file.readText()
        return readDocument(Intent.serializer(), text, file.path)
            .mapError { listOf(it) }
            .flatMap { intent ->
                val problems = validateIntent(intent, text, file.path)
                if (problems.isEmpty()) Ok(text) else Err(problems)
            }
    }

    private fun valid(file: File): Int {
        out.println("${file.path}: valid")
        return ExitCodes.OK
    }

    private fun invalid(problems: List<DocumentProblem>): Int {
        problems.forEach { System.err.println(it) }
        return ExitCodes.USAGE
    }
}

/** Confirms the plan [id]. */
internal fun confirmed(
    root: RootCommand,
    id: String,
): Result<Confirmed, CliError> = root.client.post("/v1/operator/plans/$id/confirm", "", Confirmed.serializer())

/** Prints [plan] and, if [confirm], confirms it. */
internal fun planned(
    root: RootCommand,
    plan: Result<Plan, CliError>,
    confirm: Boolean,
    out: PrintWriter,
): Int {
    val code = root.finish(plan, Plan.serializer(), out, ::planText)
    if (code != ExitCodes.OK || !confirm) return code
    return root.finish(confirmed(root, plan.value.id.value), Confirmed.serializer(), out, ::confirmedText)
}

private fun planText(plan: Plan): String {
    val steps = plan.steps.map { "  ${it.change}: ${it.effect}" }
    val seen = plan.observations.map { "  $it" }
    val head = "plan ${plan.id.value} on revision ${plan.baseRevision.value}"
    val tail = "nothing has changed yet; confirm with: bergamotwall intent confirm ${plan.id.value}"
    return (listOf(head, "changes:") + steps + listOf("seen:") + seen + tail).joinToString("\n")
}

private fun confirmedText(confirmed: Confirmed): String {
    val again = if (confirmed.alreadyApplied) " (it was applied before)" else ""
    return "revision ${confirmed.revision.value} is accepted$again"
}
