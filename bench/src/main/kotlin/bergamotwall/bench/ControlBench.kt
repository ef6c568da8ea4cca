package bergamotwall.bench

import bergamotwall.model.DataCentre
import bergamotwall.model.NodeId
import bergamotwall.model.NodeRole
import bergamotwall.model.Settings
import bergamotwall.runtime.Node
import bergamotwall.standins.KeyValueStandIn
import com.sun.management.OperatingSystemMXBean
import java.lang.management.ManagementFactory
import kotlin.math.ln

/**
 * Cost of membership and replicated documents per node: traffic, processor time and heap, with 8 to 64 nodes in this
 * process.
 */
internal class ControlBench : Bench {
    override val name = "control"

    private class Cost(
        val nodes: Int,
        val bytesPerSecond: Double,
        val cpuPercent: Double,
        val heapMegabytes: Double,
        val callsPerSecond: Double,
    )

    override fun run(options: BenchOptions): BenchResult {
        val costs = SIZES.map { measure(it, options) }
        val measured = costs.flatMap { c -> figures(c) }
        return BenchResult(name, measured + extrapolated(costs))
    }

    private fun figures(cost: Cost): List<Figure> =
        listOf(
            figureOf("${cost.nodes} nodes: sent", "bytes/s a node", listOf(cost.bytesPerSecond), atMost = BYTES_BUDGET),
            figureOf(
                "${cost.nodes} nodes: processor",
                "% of a core a node",
                listOf(cost.cpuPercent),
                atMost = CPU_BUDGET
            ),
            figureOf("${cost.nodes} nodes: heap", "MB a node", listOf(cost.heapMegabytes), atMost = HEAP_BUDGET),
            figureOf("${cost.nodes} nodes: key-value calls", "calls/s in all", listOf(cost.callsPerSecond)),
        )

    /**
     * Extrapolates from the smallest and the largest fleet to [TARGET_NODES] nodes, for a deployment of 960 processes
     * on 320 VMs: traffic and processor time by the logarithm of the number of nodes, heap linearly.
     */
    private fun extrapolated(costs: List<Cost>): List<Figure> {
        val small = costs.first()
        val large = costs.last()
        val atTarget = { of: (Cost) -> Double ->
            val slope = (of(large) - of(small)) / (ln(large.nodes.toDouble()) - ln(small.nodes.toDouble()))
            of(large) + slope * (ln(TARGET_NODES) - ln(large.nodes.toDouble()))
        }
        val heapSlope = (large.heapMegabytes - small.heapMegabytes) / (large.nodes - small.nodes)
        return listOf(
            figureOf(
                "at 640 nodes, by log slope: sent",
                "bytes/s a node",
                listOf(atTarget { it.bytesPerSecond }),
                atMost = BYTES_BUDGET
            ),
            figureOf(
                "at 640 nodes, by log slope: processor",
                "% of a core a node",
                listOf(atTarget { it.cpuPercent }),
                atMost = CPU_BUDGET
            ),
            figureOf(
                "at 640 nodes, by linear slope: heap",
                "MB a node",
                listOf(large.heapMegabytes + heapSlope * (TARGET_NODES - large.nodes)),
                atMost = HEAP_BUDGET,
            ),
        )
    }

    private fun measure(
        count: Int,
        options: BenchOptions,
    ): Cost {
        val heapBefore = heapBytes()
        return KeyValueStandIn("127.0.0.1:0", options.seed).use { keyValue ->
            val ports = freePorts(count * 2)
            val nodes = List(count) { i -> node(i, ports[2 * i], ports[2 * i + 1], ports[1], keyValue.port) }
            Thread.sleep(SETTLE_MILLIS)
            val cpuBefore = cpuNanos()
            val bytesBefore = nodes.sumOf { it.bytesSent }
            val callsBefore = keyValue.calls.let { it.reads + it.writes + it.watches }
            Thread.sleep(options.seconds * MILLIS_PER_SECOND)
            val seconds = options.seconds.toDouble()
            val cost =
                Cost(
                    nodes = count,
                    bytesPerSecond = (nodes.sumOf { it.bytesSent } - bytesBefore) / seconds / count,
                    cpuPercent = (cpuNanos() - cpuBefore) / seconds / NANOS_PER_SECOND / count * PERCENT,
                    heapMegabytes = (heapBytes() - heapBefore) / BYTES_PER_MEGABYTE / count,
                    callsPerSecond = (keyValue.calls.let { it.reads + it.writes + it.watches } - callsBefore) / seconds,
                )
            nodes.parallelStream().forEach { it.halt() }
            cost
        }
    }

    private fun node(
        index: Int,
        httpPort: Int,
        peerPort: Int,
        seedPort: Int,
        keyValuePort: Int,
    ): Node {
        val settings =
            Settings(
                id = NodeId("node-$index"),
                dataCentre = DataCentre("dc-${index % DATA_CENTRES}"),
                httpAddress = "127.0.0.1:$httpPort",
                peerAddress = "127.0.0.1:$peerPort",
                keyValueAddress = "127.0.0.1:$keyValuePort",
                vmListAddress = "127.0.0.1:1",
                seeds = listOf("127.0.0.1:$seedPort"),
            )
        return Node(settings, NodeRole.CONTROLLER)
            .also { node -> node.start({ message, _ -> Node.notServed(message) }) { } }
    }

    private fun heapBytes(): Double {
        repeat(2) { System.gc() }
        return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used.toDouble()
    }

    private fun cpuNanos(): Long =
        (ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean).processCpuTime

    private companion object {
        private val SIZES = listOf(8, 16, 32, 64)
        private const val TARGET_NODES = 640.0
        private const val DATA_CENTRES = 7
        private const val BYTES_BUDGET = 3_000.0
        private const val CPU_BUDGET = 2.6
        private const val HEAP_BUDGET = 32.0
        private const val SETTLE_MILLIS = 8_000L
        private const val MILLIS_PER_SECOND = 1_000L
        private const val NANOS_PER_SECOND = 1e9
        private const val PERCENT = 100.0
        private const val BYTES_PER_MEGABYTE = 1_048_576.0
    }
}
