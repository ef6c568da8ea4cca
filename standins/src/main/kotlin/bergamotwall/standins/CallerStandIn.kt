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
private data class AskedCompletion(
    val model: String,
    val prompt: String,
    @SerialName("max_tokens") val maxTokens: Int,
    val stream: Boolean,
)

@Serializable
private data class AnsweredChoice(
    val text: String = "",
    @SerialName("weight_versions") val versions: List<Long> = emptyList(),
)

@Serializable
private data class AnsweredCompletion(val choices: List<AnsweredChoice>)

/** Stand-in for an application: streams completions, calls a service that may not be repeated, checks every answer. */
public class CallerStandIn(private val options: CallerOptions, folder: File) {
    private val picker = EntryPicker(options.entries, "")
    private val calls = Calls(options.key)
    private val records = Records(File(folder, "caller-${options.name}.jsonl"), CallRecord.serializer())

    private val tookMillis = ConcurrentLinkedQueue<Long>()

    private class Outcome(val outcome: CallOutcome, val detail: String, val retryAfterMillis: Long?)

    /** Runs for the stated time, then until the open calls have ended; returns what whole completions took. */
    public suspend fun run(): List<Long> {
        coroutineScope {
            repeat(options.workers) { worker -> launch { work(Random(options.seed * WORKER_STEP + worker)) } }
        }
        records.close()
        return tookMillis.toList()
    }

    private suspend fun work(random: Random) {
        val endNanos = System.nanoTime() + options.runMillis * NANOS_PER_MILLI
        while (System.nanoTime() < endNanos) {
            if (random.nextBoolean()) model(random) else service()
            delay(random.nextLong(1, options.pauseMillis * 2))
        }
    }

    private suspend fun model(random: Random) {
        val prompt = "counter ${random.nextInt(PREFIXES)}: what to order now? ${UUID.randomUUID()}"
        val stream = random.nextBoolean()
        val asked = AskedCompletion(options.model, prompt, MAX_TOKENS, stream)
        val body = Jsons.wire.encodeToString(AskedCompletion.serializer(), asked)
        repeatUntilFinal(CallKind.MODEL, prompt, "/v1/completions", body) { check(it, prompt, stream) }
    }

    private suspend fun service() {
        val key = UUID.randomUUID().toString()
        val path = "/services/${options.service}/confirm"
        repeatUntilFinal(CallKind.SERVICE, key, path, "{\"shift\": \"$key\"}") { answer ->
            val echo = Jsons.wire.decodeFromString(ServiceEcho.serializer(), answer.contentUtf8())
            val own = echo.key == key
            Outcome(if (own) CallOutcome.WHOLE else CallOutcome.WRONG, if (own) "" else "got ${echo.key}", null)
        }
    }

    private suspend fun repeatUntilFinal(
        kind: CallKind,
        key: String,
        path: String,
        body: String,
        check: (AggregatedHttpResponse) -> Outcome,
    ) {
        val startNanos = System.nanoTime()
        while (true) {
            val address = picker.address()
            val idempotencyKey = key.takeIf { kind == CallKind.SERVICE }
            val reply = calls.post("http://$address$path", body, ATTEMPT_MILLIS, idempotencyKey)
            val outcome = outcomeOf(reply, check)
            val tookMillis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI
            records.add(
                CallRecord(
                    options.name,
                    kind,
                    key,
                    outcome.outcome,
                    outcome.detail,
                    address,
                    System.currentTimeMillis(),
                    tookMillis
                ),
            )
            if (reply.answer == null) picker.failed(address)
            if (outcome.outcome == CallOutcome.WHOLE && kind == CallKind.MODEL) this.tookMillis += tookMillis
            val unrepeatable = outcome.outcome == CallOutcome.UNKNOWN && kind == CallKind.SERVICE
            if (outcome.outcome == CallOutcome.WHOLE || unrepeatable || tookMillis > GIVE_UP_MILLIS) return
            delay(outcome.retryAfterMillis ?: RETRY_MILLIS)
        }
    }

    private fun outcomeOf(
        reply: Reply,
        check: (AggregatedHttpResponse) -> Outcome,
    ): Outcome {
        val answer = reply.answer
        return when {
            answer == null -> Outcome(CallOutcome.CUT, reply.failure, null)
            answer.status() == HttpStatus.OK -> check(answer)
            else -> refusal(answer, reply)
        }
    }

    private fun refusal(
        answer: AggregatedHttpResponse,
        reply: Reply,
    ): Outcome {
        val problem = reply.problem
        val notRun = problem?.runState == RunState.NOT_RUN
        val detail = "${answer.status().code()} ${problem?.detail}"
        return Outcome(if (notRun) CallOutcome.NOT_RUN else CallOutcome.UNKNOWN, detail, problem?.retryAfterMillis)
    }

    private fun check(
        answer: AggregatedHttpResponse,
        prompt: String,
        stream: Boolean,
    ): Outcome {
        val body = answer.contentUtf8()
        val events = body.lines().filter { it.startsWith("data: {") && "choices" in it }.map {
            it.removePrefix(
                "data: "
            )
        }
        val choices =
            (if (stream) events else listOf(body)).flatMap {
                Jsons.wire.decodeFromString(AnsweredCompletion.serializer(), it).choices
            }
        val text = choices.joinToString("") { it.text }
        val versions = choices.flatMap { it.versions }.distinct()
        return when {
            stream && "event: error" in body -> Outcome(CallOutcome.UNKNOWN, body.substringAfter("event: error"), null)
            stream && "[DONE]" !in body -> Outcome(CallOutcome.CUT, "no end mark", null)
            !TokenText.isWhole(text, prompt) -> Outcome(CallOutcome.WRONG, text, null)
            versions != TokenText.versions(text) -> Outcome(CallOutcome.MISLABELLED, "$versions for $text", null)
            else -> Outcome(CallOutcome.WHOLE, "", null)
        }
    }

    private companion object {
        private const val WORKER_STEP = 1_000L
        private const val PREFIXES = 5
        private const val MAX_TOKENS = 200
        private const val ATTEMPT_MILLIS = 10_000L
        private const val GIVE_UP_MILLIS = 30_000L
        private const val RETRY_MILLIS = 100L
        private const val NANOS_PER_MILLI = 1_000_000L
    }
}
