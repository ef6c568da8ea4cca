package bergamotwall.drivers.http

import bergamotwall.drivers.ServiceRequest
import bergamotwall.drivers.TargetError
import com.github.michaelbull.result.getError
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.ResponseHeaders
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit

/** Responses are collected as a whole, and each part counts as held memory when it arrives. */
internal class ResponseCollectorTest {
    private val buffer = SharedBuffer(LIMIT_BYTES)
    private val collector = ResponseCollector(BufferShare(buffer))
    private val writer = HttpResponse.streaming().also { it.subscribe(collector) }

    /** Guards against a limit that holds only for complete responses, so that many in progress exhaust the memory. */
    @Test
    fun `a response fails where it may hold no more, although it has not ended`() {
        writer.write(ResponseHeaders.of(HttpStatus.OK))
        writer.write(HttpData.wrap(ByteArray(PART_BYTES)))
        awaitHeldBytes(PART_BYTES.toLong())
        writer.write(HttpData.wrap(ByteArray(LIMIT_BYTES.toInt())))
        expectThrows<ExecutionException> { collector.response.get(WAIT_SECONDS, TimeUnit.SECONDS) }
            .get { cause }
            .isA<IOException>()
    }

    /** Guards against taking the head of an interim response for that of the response, and against lost parts. */
    @Test
    fun `a complete response has the last head and all parts`() {
        writer.write(ResponseHeaders.of(HttpStatus.CONTINUE))
        writer.write(ResponseHeaders.of(HttpStatus.OK))
        writer.write(HttpData.ofUtf8("ab"))
        writer.write(HttpData.ofUtf8("c"))
        writer.close()
        val response = collector.response.get(WAIT_SECONDS, TimeUnit.SECONDS)
        expectThat(response.status()).isEqualTo(HttpStatus.OK)
        expectThat(response.contentUtf8()).isEqualTo("abc")
    }

    /** Guards against a loss of the cause, which alone tells that the request can't have run. */
    @Test
    fun `a call to an address where nothing listens has not started`() {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        val request = ServiceRequest("POST", "/x", "text/plain", "x", null, TimeUnit.SECONDS.toMillis(WAIT_SECONDS))
        val result = runBlocking { ServiceDriver(targetClient()).call("127.0.0.1:$port", request) }
        expectThat(result.getError()).isA<TargetError.NotStarted>()
    }

    private fun awaitHeldBytes(bytes: Long): Unit =
        runBlocking {
            withTimeout(TimeUnit.SECONDS.toMillis(WAIT_SECONDS)) { while (buffer.heldBytes != bytes) delay(1) }
        }

    private companion object {
        private const val LIMIT_BYTES = 1_000L
        private const val PART_BYTES = 100
        private const val WAIT_SECONDS = 20L
    }
}
