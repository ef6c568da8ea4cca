package bergamotwall.standins

import bergamotwall.model.FleetStatus
import bergamotwall.model.Jsons
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpStatus
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import java.io.File
import java.time.Duration

/** Periodically records the configuration revision that each node reports, so that `verify` finds reverts. */
internal class RevisionObserver(private val controllers: List<String>, folder: File) {
    private val records = RecordLog(File(folder, "revisions.jsonl"), RevisionRecord.serializer())
    private val client = WebClient.builder().responseTimeout(Duration.ofMillis(TIMEOUT_MILLIS)).build()

    suspend fun run(runMillis: Long) {
        val endNanos = System.nanoTime() + runMillis * NANOS_PER_MILLI
        while (System.nanoTime() < endNanos) {
            controllers.forEach { observe(it) }
            delay(PERIOD_MILLIS)
        }
        records.close()
    }

    private suspend fun observe(controller: String) {
        val status =
            client
                .get("http://$controller/v1/operator/status")
                .aggregate()
                .handle { response, _ -> response?.takeIf { it.status() == HttpStatus.OK }?.contentUtf8() }
                .await() ?: return
        val now = System.currentTimeMillis()
        Jsons.wire.decodeFromString(FleetStatus.serializer(), status).nodes.forEach {
            records.add(RevisionRecord(it.node.value, it.configuration.value, now))
        }
    }

    private companion object {
        private const val TIMEOUT_MILLIS = 3_000L
        private const val PERIOD_MILLIS = 300L
        private const val NANOS_PER_MILLI = 1_000_000L
    }
}
