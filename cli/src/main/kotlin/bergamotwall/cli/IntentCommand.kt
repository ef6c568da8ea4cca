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

/** Validates, plans, confirms and shows intents. */
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
    ): Int = readValidIntent(file).fold({ printValid(file) }, { printProblems(it) })

    @Command(description = ["Plan the changes for an intent file. Nothing changes until the plan is confirmed."])
    fun plan(
        @Parameters(paramLabel = "FILE") file: File,
        @Option(names = ["--confirm"], description = ["Confirm the plan immediately."]) confirm: Boolean,
    ): Int =
        readValidIntent(file).fold(
            success = { text ->
                printPlan(root, root.client.post("/v1/operator/plans", text, Plan.serializer()), confirm, out)
            },
            failure = { printProblems(it) },
        )

    @Command(description = ["Confirm a plan. Confirming it again has no further effect."])
    fun confirm(
        @Parameters(paramLabel = "PLAN") id: String,
    ): Int = root.printResult(confirmPlan(root, id), Confirmed.serializer(), out, ::confirmedText)

    @Command(description = ["Show the confirmed intents."])
    fun show(): Int {
        val intents = root.client.get("/v1/operator/status", FleetStatus.serializer()).map { it.configuration.intents }
        val serializer = ListSerializer(Intent.serializer())
        return root.printResult(intents, serializer, out) { Jsons.pretty.encodeToString(serializer, it) }
    }

    private fun readValidIntent(file: File): Result<String, List<DocumentProblem>> {
        if (!file.isFile) {
            return Err(
                listOf(DocumentProblem(file.path, 1, "FILE", "no such file", "give the path of an existing file"))
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

    private fun printValid(file: File): Int {
        out.println("${file.path}: valid")
        return ExitCodes.OK
    }

    private fun printProblems(problems: List<DocumentProblem>): Int {
        problems.forEach { System.err.println(it) }
        return ExitCodes.USAGE
    }
}

/** Confirms the plan [id]. */
internal fun confirmPlan(
    root: RootCommand,
    id: String,
): Result<Confirmed, CliError> = root.client.post("/v1/operator/plans/$id/confirm", "", Confirmed.serializer())

/** Prints [plan], confirms it if [confirm] is set, and returns the exit code. */
internal fun printPlan(
    root: RootCommand,
    plan: Result<Plan, CliError>,
    confirm: Boolean,
    out: PrintWriter,
): Int {
    val code = root.printResult(plan, Plan.serializer(), out, ::planText)
    if (code != ExitCodes.OK || !confirm) return code
    return root.printResult(confirmPlan(root, plan.value.id.value), Confirmed.serializer(), out, ::confirmedText)
}

private fun planText(plan: Plan): String {
    val steps = plan.steps.map { "  ${it.change}: ${it.effect}" }
    val observations = plan.observations.map { "  $it" }
    val header = "plan ${plan.id.value} on revision ${plan.baseRevision.value}"
    val footer = "no change is applied yet; confirm with: bergamotwall intent confirm ${plan.id.value}"
    return (listOf(header, "changes:") + steps + listOf("observations:") + observations + footer).joinToString("\n")
}

private fun confirmedText(confirmed: Confirmed): String {
    val suffix = if (confirmed.alreadyApplied) " (already applied)" else ""
    return "revision ${confirmed.revision.value} is accepted$suffix"
}
