package bergamotwall.standins

import bergamotwall.model.Jsons
import bergamotwall.model.RunState
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpStatus
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.io.File
import java.util.UUID
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random

@Serializable
private data class CompletionBody(
    val model: String,
    val prompt: String,
    @SerialName("max_tokens") val maxTokens: Int,
    val stream: Boolean,
)

@Serializable
private data class ReceivedChoice(
    val text: String = "",
    @SerialName("weight_versions") val versions: List<Long> = emptyList(),
)

@Serializable
private data class ReceivedCompletion(val choices: List<ReceivedChoice>)

/** Stand-in for an application: requests completions, calls a service with idempotency keys, checks every response. */
public class CallerStandIn(private val options: CallerOptions, folder: File) {
    private val picker = EntryPicker(options.entries, "")
    private val http = CallerHttpClient(options.key)
    private val records = RecordLog(File(folder, "caller-${options.name}.jsonl"), CallRecord.serializer())

    private val completionMillis = ConcurrentLinkedQueue<Long>()

    private class Checked(val outcome: CallOutcome, val detail: String, val retryAfterMillis: Long?)

    /**
     * Makes calls for [CallerOptions.runMillis] and waits for those in progress. Returns the milliseconds that each
     * successful completion took, retries included.
     */
    public suspend fun run(): List<Long> {
        coroutineScope {
            repeat(options.workers) { worker -> launch { runWorker(Random(options.seed * SEED_STRIDE + worker)) } }
        }
        records.close()
        return completionMillis.toList()
    }

    private suspend fun runWorker(random: Random) {
        val endNanos = System.nanoTime() + options.runMillis * NANOS_PER_MILLI
        while (System.nanoTime() < endNanos) {
            if (random.nextBoolean()) callModel(random) else callService()
            delay(random.nextLong(1, options.pauseMillis * 2))
        }
    }

    private suspend fun callModel(random: Random) {
        val prompt = "counter ${random.nextInt(PREFIXES)}: what to order now? ${UUID.randomUUID()}"
        val stream = random.nextBoolean()
        val completion = CompletionBody(options.model, prompt, MAX_TOKENS, stream)
        val body = Jsons.wire.encodeToString(CompletionBody.serializer(), completion)
        callUntilFinal(CallKind.MODEL, prompt, "/v1/completions", body) { check(it, prompt, stream) }
    }

    private suspend fun callService() {
        val key = UUID.randomUUID().toString()
        val path = "/services/${options.service}/confirm"
        callUntilFinal(CallKind.SERVICE, key, path, "{\"shift\": \"$key\"}") { response ->
            val echo = Jsons.wire.decodeFromString(ServiceEcho.serializer(), response.contentUtf8())
            val matches = echo.key == key
            Checked(if (matches) CallOutcome.WHOLE else CallOutcome.WRONG, if (matches) "" else "got ${echo.key}", null)
        }
    }

    /** Repeats a call until it succeeds or time is up. A service call also ends with [CallOutcome.UNKNOWN]. */
    private suspend fun callUntilFinal(
        kind: CallKind,
        key: String,
        path: String,
        body: String,
        check: (AggregatedHttpResponse) -> Checked,
    ) {
        val startNanos = System.nanoTime()
        while (true) {
            val address = picker.address()
            val idempotencyKey = key.takeIf { kind == CallKind.SERVICE }
            val result = http.post("http://$address$path", body, ATTEMPT_TIMEOUT_MILLIS, idempotencyKey)
            val checked = checkResult(result, check)
            val tookMillis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI
            records.add(
                CallRecord(
                    options.name,
                    kind,
                    key,
                    checked.outcome,
                    checked.detail,
                    address,
                    System.currentTimeMillis(),
                    tookMillis
                ),
            )
            if (result.response == null) picker.markFailed(address)
            if (checked.outcome == CallOutcome.WHOLE && kind == CallKind.MODEL) completionMillis += tookMillis
            val mustNotRepeat = checked.outcome == CallOutcome.UNKNOWN && kind == CallKind.SERVICE
            if (checked.outcome == CallOutcome.WHOLE || mustNotRepeat || tookMillis > GIVE_UP_AFTER_MILLIS) return
            delay(checked.retryAfterMillis ?: RETRY_DELAY_MILLIS)
        }
    }

    private fun checkResult(
        result: CallResult,
        check: (AggregatedHttpResponse) -> Checked,
    ): Checked {
        val response = result.response
        return when {
            response == null -> Checked(CallOutcome.CUT, result.failure, null)
            response.status() == HttpStatus.OK -> check(response)
            else -> errorOutcome(response, result)
        }
    }

    private fun errorOutcome(
        response: AggregatedHttpResponse,
        result: CallResult,
    ): Checked {
        val problem = result.problem
        val notRun = problem?.runState == RunState.NOT_RUN
        val detail = "${response.status().code()} ${problem?.detail}"
        return Checked(if (notRun) CallOutcome.NOT_RUN else CallOutcome.UNKNOWN, detail, problem?.retryAfterMillis)
    }

    private fun check(
        response: AggregatedHttpResponse,
        prompt: String,
        stream: Boolean,
    ): Checked {
        val body = response.contentUtf8()
        val events =
            body
                .lines()
                .filter { it.startsWith("data: {") && "choices" in it }
                .map { it.removePrefix("data: ") }
        val choices =
            (if (stream) events else listOf(body)).flatMap {
                Jsons.wire.decodeFromString(ReceivedCompletion.serializer(), it).choices
            }
        val text = choices.joinToString("") { it.text }
        val versions = choices.flatMap { it.versions }.distinct()
        return when {
            stream && "event: error" in body -> Checked(CallOutcome.UNKNOWN, body.substringAfter("event: error"), null)
            stream && "[DONE]" !in body -> Checked(CallOutcome.CUT, "no end mark", null)
            !TokenText.isComplete(text, prompt) -> Checked(CallOutcome.WRONG, text, null)
            versions != TokenText.versions(text) -> Checked(CallOutcome.MISLABELLED, "$versions for $text", null)
            else -> Checked(CallOutcome.WHOLE, "", null)
        }
    }

    private companion object {
        private const val SEED_STRIDE = 1_000L
        private const val PREFIXES = 5
        private const val MAX_TOKENS = 200
        private const val ATTEMPT_TIMEOUT_MILLIS = 10_000L
        private const val GIVE_UP_AFTER_MILLIS = 30_000L
        private const val RETRY_DELAY_MILLIS = 100L
        private const val NANOS_PER_MILLI = 1_000_000L
    }
}
