package bergamotwall.entry

import bergamotwall.decisions.admission.TailEstimator
import bergamotwall.drivers.EngineChunk
import bergamotwall.model.GroupSpec
import bergamotwall.model.Jsons
import bergamotwall.model.ModelIntent
import bergamotwall.model.ModelName
import bergamotwall.model.Problem
import bergamotwall.model.ProblemDocument
import bergamotwall.model.ProblemKind
import bergamotwall.model.RequestId
import bergamotwall.model.WeightVersion
import bergamotwall.runtime.Node
import bergamotwall.runtime.jsonResponse
import bergamotwall.runtime.problemResponse
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.binding
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.toResultOr
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.cancel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.future.await
import kotlinx.coroutines.launch
import java.util.UUID

/** Serves `/v1/completions` and `/v1/chat/completions`. */
internal class CompletionApi(
    private val node: Node,
    private val authenticator: Authenticator,
    private val groups: GroupRunner,
) {
    fun serve(
        context: ServiceRequestContext,
        request: AggregatedHttpRequest,
        read: (String) -> Result<CompletionCall, Problem>,
    ): HttpResponse =
        accept(request, read).fold(
            success = { if (it.call.stream) streamedResponse(context, it) else bufferedResponse(context, it) },
            failure = { failureResponse(it) },
        )

    private fun accept(
        request: AggregatedHttpRequest,
        read: (String) -> Result<CompletionCall, Problem>,
    ): Result<AcceptedCompletion, Problem> =
        binding {
            val caller = authenticator.caller(request.headers()).bind()
            val call = read(request.contentUtf8()).bind()
            val name = ModelName(call.model)
            val model =
                node.fleetState.configuration
                    .read()
                    .model(name)
                    .toResultOr { Problem(ProblemKind.NOT_FOUND, "model ${call.model}: no confirmed intent names it") }
                    .bind()
            AcceptedCompletion(
                id = UUID.randomUUID().toString(),
                call = call,
                caller = caller,
                model = model,
                priorityClass = priorityOf(caller, request.headers()).bind(),
                deadlineMillis = now() + deadlineOf(request.headers(), DEFAULT_DEADLINE_MILLIS).bind(),
                trace = request.headers().get(TRACE_HEADER),
            )
        }

    private fun bufferedResponse(
        context: ServiceRequestContext,
        accepted: AcceptedCompletion,
    ): HttpResponse {
        val response = java.util.concurrent.CompletableFuture<HttpResponse>()
        val collector = Collector(accepted)
        val job =
            node.scope.launch {
                response.complete(
                    run(accepted, collector).fold(
                        success = { jsonResponse(CompletionResponse.serializer(), collector.response()) },
                        failure = { failureResponse(it) },
                    ),
                )
            }
        context.whenRequestCancelling().thenAccept { job.cancel() }
        return HttpResponse.of(response)
    }

    private fun streamedResponse(
        context: ServiceRequestContext,
        accepted: AcceptedCompletion,
    ): HttpResponse {
        val writer = HttpResponse.streaming()
        val streamer = Streamer(accepted, writer)
        val job =
            node.scope.launch {
                run(accepted, streamer).fold(success = { streamer.finish() }, failure = { streamer.fail(it) })
            }
        context.whenRequestCancelling().thenAccept { job.cancel() }
        writer.whenComplete().exceptionally { job.cancel().let { null } }
        return writer
    }

    private suspend fun run(
        accepted: AcceptedCompletion,
        listener: GroupListener,
    ): Result<Unit, Problem> {
        val spec = GroupSpec(accepted.call.prompt, accepted.call.n, accepted.call.enough, accepted.call.maxTokens)
        val result = groups.run(accepted.id, spec, TailEstimator(), { requestOf(accepted, it) }, listener)
        val outcome = result.fold({ "whole" }, { it.kind.slug })
        node.metrics.requests.labelValues("model", outcome).inc()
        return result
    }

    private fun requestOf(
        accepted: AcceptedCompletion,
        number: Int,
    ): GenerationRequest =
        GenerationRequest(
            id = RequestId("${accepted.id}/$number"),
            flow = accepted.caller.name.value,
            caller = accepted.caller.name,
            priorityClass = accepted.priorityClass,
            sequence = 0,
            model = accepted.call.model,
            prompt = accepted.call.prompt,
            maxTokens = accepted.call.maxTokens,
            minVersion = { oldestAllowedVersion(accepted.model) },
            deadlineMillis = accepted.deadlineMillis,
            trace = accepted.trace,
        )

    private fun oldestAllowedVersion(model: ModelIntent): WeightVersion {
        val published = node.fleetState.published.read().of(model.name)
        return WeightVersion(published.value - model.allowedVersionsBehind)
    }

    private fun failureResponse(problem: Problem): HttpResponse {
        node.metrics.requests.labelValues("model", problem.kind.slug).inc()
        return problemResponse(problem)
    }

    private fun now(): Long = node.clock.monotonicMillis()

    /** Collects completed choices for a non-streamed response. */
    private inner class Collector(private val accepted: AcceptedCompletion) : GroupListener {
        private val choices = ArrayList<Choice>()
        private var tokens = 0

        override suspend fun completed(
            number: Int,
            generation: Generation,
        ): Boolean {
            tokens += generation.tokens
            val message = ChatMessage("assistant", generation.text)
            val index = choices.size
            choices +=
                if (accepted.call.chat) {
                    Choice(index, null, message, null, generation.finishReason, generation.versions)
                } else {
                    Choice(index, generation.text, null, null, generation.finishReason, generation.versions)
                }
            return true
        }

        override suspend fun failed(
            number: Int,
            problem: Problem,
        ): Problem = problem

        fun response(): CompletionResponse = responseOf(accepted, "", choices, Usage(tokens))
    }

    /** Writes chunks as server-sent events. A stream that fails ends without `[DONE]`. */
    private inner class Streamer(
        private val accepted: AcceptedCompletion,
        private val writer: HttpResponseWriter
    ) : GroupListener {
        private var started = false
        private var written = 0

        override suspend fun chunk(
            number: Int,
            chunk: EngineChunk,
        ) {
            val delta = ChatMessage("assistant", chunk.text).takeIf { accepted.call.chat }
            val text = chunk.text.takeUnless { accepted.call.chat }
            send(Choice(number, text, null, delta, chunk.finishReason, listOf(chunk.version)))
        }

        override suspend fun completed(
            number: Int,
            generation: Generation,
        ): Boolean = true

        override suspend fun failed(
            number: Int,
            problem: Problem,
        ): Problem = problem

        suspend fun finish() {
            start()
            write("[DONE]")
            writer.close()
        }

        fun fail(problem: Problem) {
            if (!started) {
                val response = problemResponse(problem).aggregate().join()
                writer.tryWrite(response.headers())
                writer.tryWrite(response.content())
            } else {
                val body = Jsons.wire.encodeToString(ProblemDocument.serializer(), ProblemDocument(problem))
                writer.tryWrite(HttpData.ofUtf8("event: error\ndata: $body\n\n"))
            }
            writer.close()
        }

        private suspend fun send(choice: Choice) {
            start()
            val response = responseOf(accepted, ".chunk", listOf(choice), null)
            write(Jsons.wire.encodeToString(CompletionResponse.serializer(), response))
        }

        private fun start() {
            if (started) return
            started = true
            writer.tryWrite(ResponseHeaders.builder(OK_STATUS).contentType(MediaType.EVENT_STREAM).build())
        }

        /**
         * Waits for the caller to consume the stream once every [MAX_UNCONSUMED_CHUNKS] chunks, which bounds the memory
         * used for a slow caller. If the caller has disconnected, the run is cancelled; the target is not at fault.
         */
        private suspend fun write(data: String) {
            val open = writer.tryWrite(HttpData.ofUtf8("data: $data\n\n"))
            val mustWait = ++written % MAX_UNCONSUMED_CHUNKS == 0
            val consumed = open && (!mustWait || writer.whenConsumed().handle { _, error -> error == null }.await())
            if (!consumed) {
                node.metrics.cancelled.labelValues("abandoned").inc()
                currentCoroutineContext().cancel()
                currentCoroutineContext().ensureActive()
            }
        }
    }

    private fun responseOf(
        accepted: AcceptedCompletion,
        suffix: String,
        choices: List<Choice>,
        usage: Usage?,
    ): CompletionResponse {
        val kind = if (accepted.call.chat) "chat.completion" else "text_completion"
        val createdSeconds = node.clock.wallMillis() / MILLIS_PER_SECOND
        return CompletionResponse(
            "cmpl-${accepted.id}",
            kind + suffix,
            createdSeconds,
            accepted.call.model,
            choices,
            usage
        )
    }

    private companion object {
        private const val DEFAULT_DEADLINE_MILLIS = 60_000L
        private const val MILLIS_PER_SECOND = 1_000L
        private const val OK_STATUS = 200
        private const val MAX_UNCONSUMED_CHUNKS = 32
    }
}
