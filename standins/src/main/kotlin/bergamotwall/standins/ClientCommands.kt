package bergamotwall.standins

import bergamotwall.model.Jsons
import bergamotwall.model.Vm
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.builtins.ListSerializer
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.io.File
import java.util.concurrent.Callable

/** Runs the stand-in for a trainer. */
@Command(name = "trainer")
internal class TrainerCommand : Callable<Int> {
    @Option(names = ["--name"], required = true)
    lateinit var name: String

    @Option(names = ["--key"], required = true)
    lateinit var key: String

    @Option(names = ["--model"], required = true)
    lateinit var model: String

    @Option(names = ["--entries"], required = true, split = ",")
    lateinit var entries: List<String>

    @Option(names = ["--publishes"])
    var publishes = false

    @Option(names = ["--rewarded"])
    var rewarded = false

    @Option(names = ["--bound"], required = true)
    var bound = 0

    @Option(names = ["--seconds"])
    var seconds = DEFAULT_SECONDS

    @Option(names = ["--seed"])
    var seed = 1L

    @Option(names = ["--records"], required = true)
    lateinit var records: File

    override fun call(): Int {
        val options =
            TrainerOptions(
                name = name,
                key = key,
                model = model,
                entries = entries,
                publishes = publishes,
                bound = bound,
                rewarded = rewarded,
                runMillis = seconds * MILLIS_PER_SECOND,
                seed = seed,
            )
        File(records, "bounds.txt").appendText("$name $bound\n")
        runBlocking { TrainerStandIn(options, records).run() }
        return 0
    }
}

private const val MILLIS_PER_SECOND = 1_000L
private const val DEFAULT_SECONDS = 10L
private const val DEFAULT_TIMES = 3

/** Runs the stand-in for an application that calls the fleet. */
@Command(name = "caller")
internal class CallerCommand : Callable<Int> {
    @Option(names = ["--name"], required = true)
    lateinit var name: String

    @Option(names = ["--key"], required = true)
    lateinit var key: String

    @Option(names = ["--model"], required = true)
    lateinit var model: String

    @Option(names = ["--service"], required = true)
    lateinit var service: String

    @Option(names = ["--entries"], required = true, split = ",")
    lateinit var entries: List<String>

    @Option(names = ["--seconds"])
    var seconds = DEFAULT_SECONDS

    @Option(names = ["--seed"])
    var seed = 1L

    @Option(names = ["--records"], required = true)
    lateinit var records: File

    override fun call(): Int {
        val options = CallerOptions(
            name,
            key,
            model,
            service,
            entries,
            runMillis = seconds * MILLIS_PER_SECOND,
            seed = seed
        )
        runBlocking { CallerStandIn(options, records).run() }
        return 0
    }
}

/** Records the configuration revisions that the nodes report. */
@Command(name = "observer")
internal class ObserverCommand : Callable<Int> {
    @Option(names = ["--controllers"], required = true, split = ",")
    lateinit var controllers: List<String>

    @Option(names = ["--seconds"])
    var seconds = DEFAULT_SECONDS

    @Option(names = ["--records"], required = true)
    lateinit var records: File

    override fun call(): Int {
        runBlocking { RevisionObserver(controllers, records).run(seconds * MILLIS_PER_SECOND) }
        return 0
    }
}

/** Adds VMs to the VM list. */
@Command(name = "put-vms")
internal class PutVmsCommand : Callable<Int> {
    @Option(names = ["--address"], required = true)
    lateinit var address: String

    @Option(names = ["--file"], required = true, description = ["JSON list of VMs."])
    lateinit var file: File

    override fun call(): Int {
        val vms = Jsons.withComments.decodeFromString(ListSerializer(Vm.serializer()), file.readText())
        vms.forEach { post("http://$address/v1/vms", Jsons.wire.encodeToString(Vm.serializer(), it)) }
        return 0
    }
}

/** Injects faults into the key-value service for a limited time. */
@Command(name = "kv-fault")
internal class KeyValueFaultCommand : Callable<Int> {
    @Option(names = ["--address"], required = true)
    lateinit var address: String

    @Option(names = ["--outage"])
    var outage = false

    @Option(names = ["--slow-millis"])
    var slowMillis = 0L

    @Option(names = ["--lost-answer-percent"])
    var lostAnswerPercent = 0

    @Option(names = ["--for-millis"], required = true)
    var forMillis = 0L

    override fun call(): Int {
        val faults = KeyValueFaults(outage, slowMillis, lostAnswerPercent, System.currentTimeMillis() + forMillis)
        post("http://$address/faults", Jsons.wire.encodeToString(KeyValueFaults.serializer(), faults))
        return 0
    }
}

/** Sends a request that crashes every engine that runs it, and repeats it as a caller would retry. */
@Command(name = "poison")
internal class PoisonCommand : Callable<Int> {
    @Option(names = ["--entries"], required = true, split = ",")
    lateinit var entries: List<String>

    @Option(names = ["--key"], required = true)
    lateinit var key: String

    @Option(names = ["--model"], required = true)
    lateinit var model: String

    @Option(names = ["--times"])
    var times = DEFAULT_TIMES

    override fun call(): Int {
        val body = "{\"model\": \"$model\", \"prompt\": \"poison ${model}\", \"max_tokens\": 20}"
        runBlocking {
            repeat(times) {
                CallerHttpClient(key).post("http://${entries[it % entries.size]}/v1/completions", body, TIMEOUT_MILLIS)
            }
        }
        return 0
    }

    private companion object {
        private const val TIMEOUT_MILLIS = 10_000L
    }
}

private fun post(
    url: String,
    body: String,
) {
    WebClient.of().execute(HttpRequest.of(HttpMethod.POST, url, MediaType.JSON, body)).aggregate().join()
}
