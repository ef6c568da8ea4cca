package bergamotwall.bench

import bergamotwall.model.Jsons
import bergamotwall.runtime.configureLogs
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.util.concurrent.Callable
import kotlin.system.exitProcess

private fun benches(): List<Bench> =
    listOf(
        PolicyBench(),
        IsolationBench(),
        CancelBench(),
        OverheadBench(),
        DecideBench(),
        OverloadBench(),
        ControlBench()
    )

private const val DEFAULT_ROUNDS = 3
private const val DEFAULT_SECONDS = 6L

/** Runs one benchmark and prints its figures beside their targets. Exits 1 if a target is missed. */
@Command(name = "bench", mixinStandardHelpOptions = true, description = ["Measures the fleet against its targets."])
internal class BenchCommand : Callable<Int> {
    @Parameters(
        paramLabel = "NAME",
        description = ["policy, isolation, cancel, overhead, decide, overload or control."]
    )
    private lateinit var name: String

    @Option(names = ["--json"], description = ["Print the result as one JSON document, on the last line."])
    private var json = false

    @Option(names = ["--seed"])
    private var seed = 1L

    @Option(names = ["--rounds"])
    private var rounds = DEFAULT_ROUNDS

    @Option(names = ["--seconds"], description = ["Length of one run in seconds."])
    private var seconds = DEFAULT_SECONDS

    override fun call(): Int {
        val bench = benches().find { it.name == name }
        if (bench == null) {
            System.err.println("bench: unknown benchmark $name: use one of ${benches().joinToString { it.name }}")
            return CommandLine.ExitCode.USAGE
        }
        val result = bench.run(BenchOptions(seed, rounds, seconds))
        if (json) println(Jsons.wire.encodeToString(BenchResult.serializer(), result)) else print(text(result))
        return if (result.met) 0 else 1
    }

    private fun text(result: BenchResult): String =
        result.figures.joinToString("") { figure ->
            val spread = "%.3f .. %.3f".format(figure.min, figure.max)
            val target =
                figure.target?.let { "target %.3f: %s".format(it, if (figure.met == true) "met" else "MISSED") }
            "%-64s %12.3f %-18s (%s) %s\n".format(figure.name, figure.median, figure.unit, spread, target.orEmpty())
        }
}

/** Entry point of the benchmarks. */
@Suppress("SpreadOperator") // picocli takes the arguments as varargs
public fun main(args: Array<String>) {
    configureLogs("bench", "error")
    exitProcess(CommandLine(BenchCommand()).execute(*args))
}
