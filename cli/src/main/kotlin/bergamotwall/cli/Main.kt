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

/** Output format of the command line. */
public enum class OutputFormat {
    /** Text and tables. */
    TEXT,

    /** One JSON document. */
    JSON,
}

/** Exit codes of the command line, as listed in its help. */
internal object ExitCodes {
    const val OK = 0
    const val REFUSED = 1
    const val USAGE = 2
    const val CONFLICT = 3
    const val UNREACHABLE = 4
}

private const val CONFLICT_STATUS = 409

/** Root of the operators' command line. */
@Command(
    name = "bergamotwall",
    mixinStandardHelpOptions = true,
    version = ["bergamotwall 0.1.0"],
    description = ["Manages the intents of a fleet, and shows its state and decisions."],
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = [
        "0:success",
        "1:refused by the controller",
        "2:invalid arguments or document",
        "3:conflict with another change",
        "4:no controller responded",
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

    /** Prints [result] in the chosen [output] format, or its error, and returns the exit code. */
    fun <T> printResult(
        result: Result<T, CliError>,
        serializer: KSerializer<T>,
        out: PrintWriter,
        text: (T) -> String,
    ): Int =
        result.fold(
            success = { value ->
                out.println(
                    if (output == OutputFormat.JSON) Jsons.wire.encodeToString(serializer, value) else text(value)
                )
                out.flush()
                ExitCodes.OK
            },
            failure = { error ->
                System.err.println("bergamotwall: ${error.message}")
                exitCodeOf(error)
            },
        )

    private fun exitCodeOf(error: CliError): Int =
        when (error) {
            is CliError.Unreachable -> ExitCodes.UNREACHABLE
            is CliError.Refused -> if (error.status == CONFLICT_STATUS) ExitCodes.CONFLICT else ExitCodes.REFUSED
        }
}

/** Creates the operators' command line. */
internal fun commandLine(): CommandLine = CommandLine(RootCommand()).setCaseInsensitiveEnumValuesAllowed(true)

/** Entry point of `bergamotwall`. */
@Suppress("SpreadOperator") // picocli takes the arguments as varargs
public fun main(args: Array<String>) {
    configureLogs("cli", "error")
    exitProcess(commandLine().execute(*args))
}
