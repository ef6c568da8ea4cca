package bergamotwall.standins

import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.io.File
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch

private const val KILLED_EXIT_CODE = 137 // as after SIGKILL
private const val DEFAULT_SLOTS = 8
private const val DEFAULT_TOKEN_MILLIS = 4.0
private const val DEFAULT_LAG_MILLIS = 500L
private const val DEFAULT_LOAD_MILLIS = 100L

/** Serves until SIGTERM, then closes [server]. */
private fun serve(server: AutoCloseable): Int {
    val stopped = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(
        Thread {
            server.close()
            stopped.countDown()
        },
    )
    stopped.await()
    return 0
}

/** Runs the stand-in for a model engine. */
@Command(name = "engine")
internal class EngineCommand : Callable<Int> {
    @Option(names = ["--id"], required = true)
    lateinit var id: String

    @Option(names = ["--address"], required = true)
    lateinit var address: String

    @Option(names = ["--model"], required = true)
    lateinit var model: String

    @Option(names = ["--weights"])
    var weights: String? = null

    @Option(names = ["--slots"])
    var slots = DEFAULT_SLOTS

    @Option(names = ["--token-millis"])
    var tokenMillis = DEFAULT_TOKEN_MILLIS

    @Option(names = ["--swap-fail-percent"])
    var swapFailPercent = 0

    @Option(names = ["--checks-fencing"])
    var checksFencing = false

    @Option(names = ["--seed"])
    var seed = 1L

    override fun call(): Int =
        serve(
            EngineStandIn(
                EngineOptions(
                    id = id,
                    address = address,
                    model = model,
                    slots = slots,
                    tokenMillis = tokenMillis,
                    swapFailPercent = swapFailPercent,
                    checksFencing = checksFencing,
                    weightStoreAddress = weights,
                    seed = seed,
                ),
            ) { Runtime.getRuntime().halt(KILLED_EXIT_CODE) },
        )
}

/** Runs the stand-in for a plain service. */
@Command(name = "service")
internal class ServiceCommand : Callable<Int> {
    @Option(names = ["--id"], required = true)
    lateinit var id: String

    @Option(names = ["--address"], required = true)
    lateinit var address: String

    @Option(names = ["--records"], required = true)
    lateinit var records: File

    override fun call(): Int = serve(ServiceStandIn(id, address, records))
}

/** Runs the stand-in for the key-value service. */
@Command(name = "kv")
internal class KeyValueCommand : Callable<Int> {
    @Option(names = ["--address"], required = true)
    lateinit var address: String

    @Option(names = ["--seed"])
    var seed = 1L

    override fun call(): Int = serve(KeyValueStandIn(address, seed))
}

/** Runs the stand-in for the VM list. */
@Command(name = "vms")
internal class VmListCommand : Callable<Int> {
    @Option(names = ["--address"], required = true)
    lateinit var address: String

    @Option(names = ["--lag-millis"])
    var lagMillis = DEFAULT_LAG_MILLIS

    override fun call(): Int = serve(VmListStandIn(address, lagMillis))
}

/** Runs the stand-in for the weight store. */
@Command(name = "weights")
internal class WeightStoreCommand : Callable<Int> {
    @Option(names = ["--address"], required = true)
    lateinit var address: String

    @Option(names = ["--max-loads"])
    var maxLoads = 2

    @Option(names = ["--load-millis"])
    var loadMillis = DEFAULT_LOAD_MILLIS

    override fun call(): Int = serve(WeightStoreStandIn(address, maxLoads, loadMillis))
}
