package bergamotwall.standins

import bergamotwall.runtime.configureLogs
import picocli.CommandLine
import picocli.CommandLine.Command
import kotlin.system.exitProcess

/** Stand-ins for what surrounds the fleet. */
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
        FaultCommand::class,
        PoisonCommand::class,
        WaitCommand::class,
        VerifyCommand::class,
    ],
)
internal class StandInsCommand

/** Entry point of `bergamotwall-standins`. */
@Suppress("SpreadOperator") // picocli takes its arguments so
public fun main(args: Array<String>) {
    configureLogs("standins", "warn")
    exitProcess(CommandLine(StandInsCommand()).execute(*args))
}
