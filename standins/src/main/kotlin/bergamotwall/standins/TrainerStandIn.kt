package bergamotwall.standins

import bergamotwall.model.Batch
import bergamotwall.model.BatchOrder
import bergamotwall.model.GroupSpec
import bergamotwall.model.Jsons
import com.linecorp.armeria.common.HttpStatus
import kotlinx.coroutines.delay
import java.io.File
import kotlin.random.Random

/** Stand-in for a trainer: orders batches, checks every sample, trains, and publishes the next weight version. */
public class TrainerStandIn(private val options: TrainerOptions, folder: File) {
    private val picker = EntryPicker(options.entries, "trainer/${options.name}")
    private val http = CallerHttpClient(options.key)
    private val batches = RecordLog(File(folder, "trainer-${options.name}.jsonl"), BatchRecord.serializer())
    private val published = RecordLog(File(folder, "publish-${options.name}.jsonl"), PublishRecord.serializer())
    private val random = Random(options.seed)
    private val publishedAtMillis = HashMap<Long, Long>()
    private var version = 0L

    /** Orders batches for [TrainerOptions.runMillis], and returns when the last of them has been received. */
    public suspend fun run(): TrainerResult {
        val startNanos = System.nanoTime()
        val steps = ArrayList<TrainerStep>()
        var number = 0L
        if (options.publishes) publish(++version)
        while (millisSince(startNanos) < options.runMillis) {
            number++
            val order = newOrder(number)
            val orderedNanos = System.nanoTime()
            val orderedAtMillis = System.currentTimeMillis()
            val batch = fetchBatch(number, order)
            val waited = millisSince(orderedNanos)
            steps += stepOf(batch, waited)
            batches.add(record(batch, order, waited, orderedAtMillis))
            delay(options.trainMillis)
            if (options.publishes) publish(++version)
        }
        batches.close()
        published.close()
        return TrainerResult(steps, millisSince(startNanos))
    }

    private fun stepOf(
        batch: Batch,
        waitedMillis: Long,
    ): TrainerStep {
        val nowMillis = System.currentTimeMillis()
        val oldestVersions = batch.samples.map { s -> s.versions.min().value }
        return TrainerStep(
            waitedMillis = waitedMillis,
            tokens = batch.samples.sumOf { it.tokens.toLong() },
            ageVersions = oldestVersions.map { batch.published.value - it },
            ageMillis = oldestVersions.map { v -> publishedAtMillis[v + 1]?.let { nowMillis - it } ?: 0 },
        )
    }

    private fun newOrder(number: Long): BatchOrder =
        BatchOrder(
            List(options.groups) {
                val prompt = "step $number of ${options.name}: draft plan ${random.nextInt(PROMPTS)}-$it"
                GroupSpec(prompt, options.n, options.enough, options.maxTokens)
            },
        )

    private suspend fun fetchBatch(
        number: Long,
        order: BatchOrder,
    ): Batch {
        val body = Jsons.wire.encodeToString(BatchOrder.serializer(), order)
        var redirectUrl: String? = null
        while (true) {
            val address = picker.address()
            val url = redirectUrl ?: "http://$address/v1/trainers/${options.name}/batches/$number"
            val result = http.post(url, body, FETCH_TIMEOUT_MILLIS)
            redirectUrl = result.response?.headers()?.get("location")
            when (result.response?.status()) {
                HttpStatus.OK -> return Jsons.wire.decodeFromString(Batch.serializer(), result.response.contentUtf8())
                HttpStatus.ACCEPTED, HttpStatus.TEMPORARY_REDIRECT -> Unit
                null -> picker.markFailed(address)
                else -> delay(result.problem?.retryAfterMillis ?: RETRY_MILLIS)
            }
        }
    }

    private suspend fun publish(next: Long) {
        while (true) {
            val address = picker.address()
            val url = "http://$address/v1/trainers/${options.name}/versions"
            val result = http.post(url, "{\"version\": $next}", PUBLISH_TIMEOUT_MILLIS)
            if (result.response?.status() == HttpStatus.OK) break
            if (result.response == null) picker.markFailed(address)
            delay(result.problem?.retryAfterMillis ?: RETRY_MILLIS)
        }
        publishedAtMillis[next] = System.currentTimeMillis()
        published.add(PublishRecord(options.model, next, System.currentTimeMillis()))
    }

    private fun record(
        batch: Batch,
        order: BatchOrder,
        waitedMillis: Long,
        orderedAtMillis: Long,
    ): BatchRecord {
        val oldest = batch.samples.minOfOrNull { s -> s.versions.min().value } ?: 0
        val newest = maxOf(version, batch.published.value)
        return BatchRecord(
            trainer = options.name,
            batch = batch.batch,
            samples = batch.samples.map { it.id.value },
            mislabelled = batch.samples.count { s -> s.versions.map { it.value } != TokenText.versions(s.text) },
            wrong = batch.samples.count { !TokenText.isComplete(it.text, order.groups[it.group].prompt) },
            tooStale = batch.samples.count { s -> s.versions.min().value < newest - options.bound },
            wrongScores = batch.samples.count { it.score != if (options.rewarded) scoreOfText(it.text) else null },
            short =
            order.groups.indices.sumOf { g ->
                maxOf(0, order.groups[g].enough - batch.samples.count { it.group == g })
            },
            waitedMillis = waitedMillis,
            ageVersions = batch.samples.map { newest - it.versions.min().value },
            atMillis = System.currentTimeMillis(),
            orderedAtMillis = orderedAtMillis,
            oldestVersion = oldest,
        )
    }

    private fun millisSince(nanos: Long): Long = (System.nanoTime() - nanos) / NANOS_PER_MILLI

    private companion object {
        private const val PROMPTS = 1_000_000
        private const val FETCH_TIMEOUT_MILLIS = 15_000L
        private const val PUBLISH_TIMEOUT_MILLIS = 3_000L
        private const val RETRY_MILLIS = 200L
        private const val NANOS_PER_MILLI = 1_000_000L
    }
}
