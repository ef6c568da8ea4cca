package bergamotwall.runtime

import bergamotwall.model.DocumentProblem
import bergamotwall.model.Settings
import bergamotwall.model.readDocument
import bergamotwall.model.validateSettings
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.mapError
import com.linecorp.armeria.client.ClientFactory
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.io.File
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch

/** Exit code for invalid settings or arguments. */
public const val EXIT_USAGE: Int = 2

/** Command line of a process of the fleet: reads and validates the settings, then runs the process until SIGTERM. */
@Command(mixinStandardHelpOptions = true, version = ["0.1.0"], description = ["One process of the fleet."])
public class NodeCommand(private val name: String, private val start: (Settings) -> Node) : Callable<Int> {
    @Option(names = ["--settings"], required = true, description = ["Settings file, JSON with comments."])
    private lateinit var settingsFile: File

    @Option(names = ["--check"], description = ["Only check the settings."])
    private var checkOnly = false

    override fun call(): Int =
        readSettings(settingsFile).fold(
            success = { if (checkOnly) 0 else run(it) },
            failure = { problems ->
                problems.forEach { System.err.println(it) }
                EXIT_USAGE
            },
        )

    private fun run(settings: Settings): Int {
        configureLogs("$name/${settings.id.value}", settings.logLevel)
        ClientFactory.disableShutdownHook()
        val node = start(settings)
        val stopped = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(
            Thread {
                node.stop()
                stopped.countDown()
            },
        )
        stopped.await()
        return 0
    }
}

/** Reads and validates the settings in [file]. */
public fun readSettings(file: File): Result<Settings, List<DocumentProblem>> {
    if (!file.isFile) {
        return Err(
            listOf(DocumentProblem(file.path, 1, "--settings", "no such file", "name an existing file"))
        )
    }
    val text = file.readText()
    return readDocument(Settings.serializer(), text, file.path)
        .mapError { listOf(it) }
        .flatMap { settings ->
            val problems = validateSettings(settings, text, file.path)
            if (problems.isEmpty()) Ok(settings) else Err(problems)
        }
}

/** Runs the process [name] with the arguments [args]; returns its exit code. */
@Suppress("SpreadOperator") // picocli takes the arguments as varargs
public fun runNode(
    name: String,
    args: Array<String>,
    start: (Settings) -> Node,
): Int = CommandLine(NodeCommand(name, start)).setCommandName("bergamotwall-$name").execute(*args)
