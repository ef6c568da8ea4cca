package bergamotwall.standins

import bergamotwall.model.Jsons
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpStatus
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.io.File
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.Callable

private const val DEFAULT_WAIT_SECONDS = 30L

/** Prints free ports of the loopback interface. */
@Command(name = "ports")
internal class PortsCommand : Callable<Int> {
    @Option(names = ["--count"], required = true)
    var count = 1

    override fun call(): Int {
        val sockets = List(count) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
        println(sockets.joinToString(" ") { it.localPort.toString() })
        sockets.forEach { it.close() }
        return 0
    }
}

/** Waits until all URLs respond with 200. */
@Command(name = "wait")
internal class WaitCommand : Callable<Int> {
    @Option(names = ["--urls"], required = true, split = ",")
    lateinit var urls: List<String>

    @Option(names = ["--seconds"])
    var seconds = DEFAULT_WAIT_SECONDS

    override fun call(): Int {
        val deadlineNanos = System.nanoTime() + seconds * NANOS_PER_SECOND
        val pending = urls.toMutableList()
        while (pending.isNotEmpty() && System.nanoTime() < deadlineNanos) {
            pending.removeIf { isReady(it) }
            if (pending.isNotEmpty()) Thread.sleep(PERIOD_MILLIS)
        }
        pending.forEach { System.err.println("not ready: $it") }
        return if (pending.isEmpty()) 0 else 1
    }

    private fun isReady(url: String): Boolean =
        WebClient
            .of()
            .get(url)
            .aggregate()
            .handle { response, _ -> response?.status() == HttpStatus.OK }
            .join()

    private companion object {
        private const val NANOS_PER_SECOND = 1_000_000_000L
        private const val PERIOD_MILLIS = 100L
    }
}

/** Prints the verdict on the records of a run; exits 0 only if every guarantee held. */
@Command(name = "verify")
internal class VerifyCommand : Callable<Int> {
    @Option(names = ["--records"], required = true)
    lateinit var records: File

    @Option(names = ["--entries"], split = ",", description = ["Entries whose metrics count cancelled generations."])
    var entries: List<String> = emptyList()

    override fun call(): Int {
        val verdict = verdictOf(records, entries.sumOf { cancelledGenerations(it) })
        println(Jsons.wire.encodeToString(Verdict.serializer(), verdict))
        return if (verdict.passed) 0 else 1
    }

    private fun cancelledGenerations(entry: String): Int =
        WebClient
            .of()
            .get("http://$entry/metrics")
            .aggregate()
            .handle { response, _ -> response?.contentUtf8().orEmpty() }
            .join()
            .lines()
            .firstOrNull { it.startsWith("bergamotwall_cancelled_total{reason=\"enough\"}") }
            ?.substringAfterLast(' ')
            ?.toDouble()
            ?.toInt() ?: 0
}
