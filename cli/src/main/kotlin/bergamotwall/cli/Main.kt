package bergamotwall.cli

import bergamotwall.model.Jsons
import bergamotwall.runtime.configureLogs
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.serialization.KSerializer
import picocli.AutoComplete
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.ScopeType
import java.io.PrintWriter
import kotlin.system.exitProcess

/** Form of the output. */
public enum class OutputFormat {
    /** For people. */
    TEXT,

    /** One JSON document. */
    JSON,
}

/** Exit codes of the command line. */
internal object ExitCodes {
    const val OK = 0
    const val REFUSED = 1
    const val USAGE = 2
    const val CONFLICT = 3
    const val UNREACHABLE = 4
}

private const val CONFLICT_STATUS = 409

/** The operators' command. */
@Command(
    name = "bergamotwall",
    mixinStandardHelpOptions = true,
    version = ["bergamotwall 0.1.0"],
    description = ["States intents, confirms plans, shows and explains the fleet."],
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = [
        "0:done",
        "1:refused",
        "2:bad arguments or document",
        "3:conflict with another change",
        "4:no controller answered",
    ],
    subcommands = [
        IntentCommand::class,
        StatusCommand::class,
        DrainCommand::class,
        ExplainCommand::class,
        AutoComplete.GenerateCompletion::class,
    ],
)
internal class RootCommand {
    @Option(
        names = ["--controller"],
        split = ",",
        scope = ScopeType.INHERIT,
        defaultValue = "\${BERGAMOTWALL_CONTROLLER:-127.0.0.1:8180}",
        description = ["Addresses host:port of controllers, tried in order (default: \${DEFAULT-VALUE})."],
    )
    lateinit var controllers: List<String>

    @Option(
        names = ["--output"],
        scope = ScopeType.INHERIT,
        defaultValue = "text",
        description = ["text or json (default: \${DEFAULT-VALUE})."],
    )
    var output: OutputFormat = OutputFormat.TEXT

    val client: ControllerClient get() = ControllerClient(controllers)

    /** Prints [result] as asked for and returns the exit code. */
    fun <T> finish(
        result: Result<T, CliError>,
        format: KSerializer<T>,
        out: PrintWriter,
        text: (T) -> String,
    ): Int =
        result.fold(
            success = { value ->
                out.println(if (output == OutputFormat.JSON) Jsons.wire.encodeToString(format, value) else text(value))
                out.flush()
                ExitCodes.OK
            },
            failure = { error ->
                System.err.println("bergamotwall: ${error.message}")
                codeOf(error)
            },
        )

    private fun codeOf(error: CliError): Int =
        when (error) {
            is CliError.Unreachable -> ExitCodes.UNREACHABLE
            is CliError.Refused -> if (error.status == CONFLICT_STATUS) ExitCodes.CONFLICT else ExitCodes.REFUSED
        }
}

/** Command line of the operators' command. */
internal fun commandLine(): CommandLine = CommandLine(RootCommand()).setCaseInsensitiveEnumValuesAllowed(true)

/** Entry point of `bergamotwall`. */
@Suppress("SpreadOperator") // picocli takes its arguments so
public fun main(args: Array<String>) {
    configureLogs("cli", "error")
    exitProcess(commandLine().execute(*args))
}
