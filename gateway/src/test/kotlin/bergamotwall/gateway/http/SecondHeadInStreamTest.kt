package bergamotwall.gateway.http

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.channels.Channel
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isFailure
import strikt.assertions.isTrue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Nothing of a second response gets into a stream that has begun. */
internal class SecondHeadInStreamTest {
    @ParameterizedTest(name = "the second response has status {0}")
    @ValueSource(ints = [200, 500, 502])
    fun `a stream in which a second response begins is broken off`(status: Int) {
        val exchange = ScriptedExchange()
        val first = ResponsePart.Head(200, listOf(Header("content-type", "text/event-stream")))
        listOf(
            ResponsePart.Body("id: 1\ndata: a\n\n".toByteArray()),
            ResponsePart.Head(status, emptyList()),
            ResponsePart.Body("id: 2\ndata: error\n\n".toByteArray()),
            ResponsePart.End,
        ).forEach { exchange.parts.trySend(it) }
        val response = streamedResponse(first, exchange, CoroutineScope(Dispatchers.Default))
        expectThat(runCatching { response.aggregate().join() }).isFailure()
        // Cancelled by the thread that closes the response, which may be later than its receiver.
        expectThat(exchange.cancelled.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue()
    }

    private class ScriptedExchange : TargetExchange {
        val parts = Channel<ResponsePart>(Channel.UNLIMITED)

        val cancelled = CountDownLatch(1)

        override suspend fun next(): ResponsePart? = parts.receive()

        override fun cancel() {
            cancelled.countDown()
        }
    }

    private companion object {
        private const val TIMEOUT_SECONDS = 30L
    }
}
