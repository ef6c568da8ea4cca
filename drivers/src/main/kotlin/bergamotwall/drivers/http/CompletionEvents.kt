package bergamotwall.drivers.http

import bergamotwall.drivers.EngineChunk
import bergamotwall.model.Jsons
import com.linecorp.armeria.common.ContentTooLargeException
import com.linecorp.armeria.common.HttpData
import kotlin.time.TimeSource

/** The events of one completion, passed on to [onChunk] as they arrive. Not thread-safe. */
internal class CompletionEvents(private val onChunk: suspend (EngineChunk) -> Unit) {
    private val events = EventBuffer()
    private var lastEvent = TimeSource.Monotonic.markNow()
    private var bytesWithoutEvent = 0

    /** Whether the engine has marked the end. */
    var completed = false
        private set

    /** Time since the last event was passed on. */
    val idleMillis: Long get() = lastEvent.elapsedNow().inWholeMilliseconds

    suspend fun add(data: HttpData) {
        val received = events.add(data.toStringUtf8())
        if (received.isEmpty()) {
            bytesWithoutEvent += data.length()
            if (bytesWithoutEvent > MAX_BYTES_WITHOUT_EVENT) {
                throw ContentTooLargeException.builder().maxContentLength(MAX_BYTES_WITHOUT_EVENT.toLong()).build()
            }
        } else {
            received.forEach { pass(it) }
            bytesWithoutEvent = 0
            lastEvent = TimeSource.Monotonic.markNow()
        }
    }

    private suspend fun pass(event: String) {
        if (event == DONE) {
            completed = true
        } else {
            onChunk(Jsons.wire.decodeFromString(CompletionEvent.serializer(), event).toChunk())
        }
    }

    private companion object {
        private const val DONE = "[DONE]"

        /** Far more than a chunk of text; bytes that form no event come from a target in trouble. */
        private const val MAX_BYTES_WITHOUT_EVENT = 1_048_576
    }
}
