package bergamotwall.bench

import bergamotwall.controller.startController
import bergamotwall.entry.startEntry
import bergamotwall.model.DataCentre
import bergamotwall.model.DispatchPolicy
import bergamotwall.model.Intent
import bergamotwall.model.Jsons
import bergamotwall.model.NodeId
import bergamotwall.model.Plan
import bergamotwall.model.Settings
import bergamotwall.model.Vm
import bergamotwall.model.VmRole
import bergamotwall.runtime.Node
import bergamotwall.samples.startSampleStore
import bergamotwall.standins.CrashAction
import bergamotwall.standins.EngineOptions
import bergamotwall.standins.EngineStandIn
import bergamotwall.standins.KeyValueStandIn
import bergamotwall.standins.ServiceStandIn
import bergamotwall.standins.VmListStandIn
import bergamotwall.standins.WeightStoreStandIn
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import java.io.File
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files

/** Size and settings of a local fleet. */
internal data class FleetShape(
    val intent: Intent,
    val engines: Int,
    val services: Int = 1,
    val entries: Int = 3,
    val policy: DispatchPolicy = DispatchPolicy.SHARDS,
    val engine: EngineOptions,
    val maxLoads: Int = 4,
)

/** A complete fleet, with stand-ins for the systems around it, in this process on the loopback interface. */
internal class LocalFleet(private val shape: FleetShape) : AutoCloseable {
    private val folder: File = Files.createTempDirectory("bergamotwall-bench").toFile()
    private val vms = VmListStandIn(ANY_PORT, lagMillis = 0)
    private val weights = WeightStoreStandIn(ANY_PORT, shape.maxLoads, LOAD_MILLIS)
    private val model = shape.intent.models.first().name.value
    private val service = shape.intent.services.firstOrNull()?.name?.value

    /** Stand-in for the key-value service. */
    val keyValue = KeyValueStandIn(ANY_PORT, seed = 1)

    /** Folder for the records of the stand-ins. */
    val recordsFolder: File = File(folder, "records").apply { mkdirs() }

    /** Stand-ins for the model engines. */
    val engines: List<EngineStandIn> = List(shape.engines) { engine(it, ANY_PORT) }
    private val services = List(shape.services) { ServiceStandIn("service-$it", ANY_PORT, recordsFolder) }
    private val nodes: List<Node>

    /** Addresses of the entries. */
    val entries: List<String>
    private val controller: String

    init {
        val ids = List(shape.entries) { "entry-$it" } + listOf("controller-0", "samples-0")
        val ports = freePorts(ids.size * 2)
        val settings = ids.mapIndexed { i, id -> settings(id, ports[2 * i], ports[2 * i + 1], ports[1]) }
        engines.forEachIndexed { i, engine -> vms.put(vm("engine-$i", VmRole.ENGINE, model, engine.port)) }
        services.forEachIndexed { i, s -> vms.put(vm("service-$i", VmRole.SERVICE, service.orEmpty(), s.port)) }
        nodes = settings.map { start(it) }
        entries = settings.filter { it.id.value.startsWith("entry") }.map { it.httpAddress }
        controller = settings.first { it.id.value.startsWith("controller") }.httpAddress
        applyIntent(shape.intent)
        awaitServing()
    }

    /** Replaces engine [index] by a new one at the same address, as after a crash, and returns the new one. */
    fun crashAndRestart(index: Int): EngineStandIn {
        val port = engines[index].port
        engines[index].close()
        return engine(index, "127.0.0.1:$port")
    }

    override fun close() {
        nodes.parallelStream().forEach { it.halt() }
        (engines + services + listOf(vms, weights, keyValue)).parallelStream().forEach { it.close() }
        folder.deleteRecursively()
    }

    private fun engine(
        index: Int,
        address: String,
    ): EngineStandIn {
        val options =
            shape.engine.copy(
                id = "engine-$index",
                address = address,
                model = model,
                seed = shape.engine.seed + index,
                weightStoreAddress = "127.0.0.1:${weights.port}",
            )
        return EngineStandIn(options, CrashAction { error("the benchmarks send no crashing request") })
    }

    private fun settings(
        id: String,
        httpPort: Int,
        peerPort: Int,
        seedPort: Int,
    ): Settings =
        Settings(
            id = NodeId(id),
            dataCentre = DataCentre("local"),
            httpAddress = "127.0.0.1:$httpPort",
            peerAddress = "127.0.0.1:$peerPort",
            keyValueAddress = "127.0.0.1:${keyValue.port}",
            vmListAddress = "127.0.0.1:${vms.port}",
            dataFolder = File(folder, id).path,
            seeds = listOf("127.0.0.1:$seedPort"),
            probePeriodMillis = 200,
            dispatch = shape.policy,
        )

    private fun start(settings: Settings): Node =
        when (settings.id.value.substringBefore('-')) {
            "entry" -> startEntry(settings)
            "controller" -> startController(settings)
            else -> startSampleStore(settings)
        }

    private fun vm(
        id: String,
        role: VmRole,
        serves: String,
        port: Int,
    ): Vm = Vm(id, role, serves, "127.0.0.1:$port", DataCentre("local"))

    private fun applyIntent(intent: Intent) {
        val body = Jsons.wire.encodeToString(Intent.serializer(), intent)
        val plan = Jsons.wire.decodeFromString(Plan.serializer(), post("http://$controller/v1/operator/plans", body))
        post("http://$controller/v1/operator/plans/${plan.id.value}/confirm", "")
    }

    private fun post(
        url: String,
        body: String,
    ): String =
        WebClient
            .of()
            .execute(HttpRequest.of(HttpMethod.POST, url, MediaType.JSON, body))
            .aggregate()
            .join()
            .contentUtf8()

    private fun awaitServing() {
        val key = shape.intent.callers.first().key
        val pending = entries.toMutableList()
        while (pending.isNotEmpty()) {
            pending.removeIf { entry ->
                CompletionClient(key).complete(entry, model, "are you there", 1) == HttpStatus.OK
            }
            Thread.sleep(POLL_MILLIS)
        }
    }

    private companion object {
        private const val ANY_PORT = "127.0.0.1:0"
        private const val LOAD_MILLIS = 50L
        private const val POLL_MILLIS = 50L
    }
}

/** Ports of the loopback interface that are free now. */
internal fun freePorts(count: Int): List<Int> {
    val sockets = List(count) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
    return sockets.map { it.localPort }.also { sockets.forEach { socket -> socket.close() } }
}
