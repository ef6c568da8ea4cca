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

/** Waits until all URLs answer 200. */
@Command(name = "wait")
internal class WaitCommand : Callable<Int> {
    @Option(names = ["--urls"], required = true, split = ",")
    lateinit var urls: List<String>

    @Option(names = ["--seconds"])
    var seconds = DEFAULT_WAIT_SECONDS

    override fun call(): Int {
        val end = System.nanoTime() + seconds * NANOS_PER_SECOND
        val open = urls.toMutableList()
        while (open.isNotEmpty() && System.nanoTime() < end) {
            open.removeIf { answers(it) }
            if (open.isNotEmpty()) Thread.sleep(PERIOD_MILLIS)
        }
        open.forEach { System.err.println("no answer from $it") }
        return if (open.isEmpty()) 0 else 1
    }

    private fun answers(url: String): Boolean =
        WebClient
            .of()
            .get(url)
            .aggregate()
            .handle { answer, _ -> answer?.status() == HttpStatus.OK }
            .join()

    private companion object {
        private const val NANOS_PER_SECOND = 1_000_000_000L
        private const val PERIOD_MILLIS = 100L
    }
}

/** Prints what the records say; exits 0 only if every promise held. */
@Command(name = "verify")
internal class VerifyCommand : Callable<Int> {
    @Option(names = ["--records"], required = true)
    lateinit var records: File

    @Option(names = ["--entries"], split = ",", description = ["Entries whose metrics count cancelled generations."])
    var entries: List<String> = emptyList()

    override fun call(): Int {
        val verdict = verdictOf(records, entries.sumOf { cancelledAt(it) })
        println(Jsons.wire.encodeToString(Verdict.serializer(), verdict))
        return if (verdict.held) 0 else 1
    }

    private fun cancelledAt(entry: String): Int =
        WebClient
            .of()
            .get("http://$entry/metrics")
            .aggregate()
            .handle { answer, _ -> answer?.contentUtf8().orEmpty() }
            .join()
            .lines()
            .firstOrNull { it.startsWith("bergamotwall_cancelled_total{reason=\"enough\"}") }
            ?.substringAfterLast(' ')
            ?.toDouble()
            ?.toInt() ?: 0
}
