package bergamotwall.standins

import bergamotwall.runtime.configureLogs
import picocli.CommandLine
import picocli.CommandLine.Command
import kotlin.system.exitProcess

/** Stand-ins for the systems around a fleet, and the tools of `bin/demo`. */
@Command(
    name = "bergamotwall-standins",
    mixinStandardHelpOptions = true,
    subcommands = [
        EngineCommand::class,
        ServiceCommand::class,
        KeyValueCommand::class,
        VmListCommand::class,
        WeightStoreCommand::class,
        TrainerCommand::class,
        CallerCommand::class,
        ObserverCommand::class,
        PortsCommand::class,
        PutVmsCommand::class,
        KeyValueFaultCommand::class,
        PoisonCommand::class,
        WaitCommand::class,
        VerifyCommand::class,
    ],
)
internal class StandInsCommand

/** Entry point of `bergamotwall-standins`. */
@Suppress("SpreadOperator") // picocli takes the arguments as varargs
public fun main(args: Array<String>) {
    configureLogs("standins", "warn")
    exitProcess(CommandLine(StandInsCommand()).execute(*args))
}
