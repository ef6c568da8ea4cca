package bergamotwall.standins

import bergamotwall.drivers.EngineRequest
import bergamotwall.drivers.ServiceRequest
import bergamotwall.drivers.TargetError
import bergamotwall.drivers.http.EngineDriver
import bergamotwall.drivers.http.ServiceDriver
import bergamotwall.drivers.http.SharedBuffer
import bergamotwall.drivers.http.targetClient
import bergamotwall.standins.fakes.EndlessTarget
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/** Calls of the drivers end at targets whose bytes are no response and never end. */
internal class DriverBytesWithoutEndTest {
    private val client = targetClient()

    @ParameterizedTest(name = "{0} to a {1}")
    @CsvSource(
        "head, report",
        "interim heads, report",
        "body, report",
        "chunked body, report",
        "body, service call",
        "head, completion",
        "interim heads, completion",
        "body, completion",
        "comments, completion",
        "blank lines, completion",
        "fields, completion",
    )
    fun `a call ends and its connection is closed`(
        bytes: String,
        call: String,
    ): Unit = expectEnd(bytes, call)

    @Test
    @Tag("known-red")
    fun `a service call to a chunked body ends and its connection is closed`(): Unit =
        expectEnd("chunked body", "service call")

    private fun expectEnd(
        bytes: String,
        call: String,
    ) {
        val (head, filler) = BYTES.getValue(bytes)
        EndlessTarget(head, filler).use { target ->
            expectThat(errorOf(call, target)).isA<TargetError.Broken>()
            expectThat(target.bytesSent.get()).isLessThan(MAX_BYTES_SENT)
        }
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource("interim heads", "comments", "blank lines", "fields")
    fun `a completion ends where no event comes for long`(bytes: String) {
        val (head, filler) = BYTES.getValue(bytes)
        EndlessTarget(head, filler, PAUSE_MILLIS).use { target ->
            expectThat(errorOf("completion", target)).isA<TargetError.Broken>().get { detail }.contains("no event")
        }
    }

    @Test
    @Tag("known-red")
    fun `many service calls without end leave room for others`() {
        val (head, filler) = BYTES.getValue("chunked body")
        val buffer = SharedBuffer(BUFFER_BYTES)
        val driver = ServiceDriver(client, buffer)
        val request = ServiceRequest("POST", "/x", "text/plain", "x", null, LIMIT_MILLIS)
        EndlessTarget(head, filler).use { target ->
            runBlocking {
                val calls = List(CALLS) { async { driver.call(target.address, request).getError() } }
                var mostBytes = 0L
                while (calls.any { it.isActive }) {
                    mostBytes = maxOf(mostBytes, buffer.heldBytes)
                    yield()
                }
                // A limit that counts only complete responses would let each call end at its own limit instead.
                expectThat(calls.awaitAll()).all { isA<TargetError.Broken>().get { detail }.contains("all responses") }
                expectThat(mostBytes).isGreaterThan(0)
                expectThat(mostBytes).isLessThan(BUFFER_BYTES + CALLS * READ_BYTES)
            }
            expectThat(buffer.heldBytes).isEqualTo(0)
        }
    }

    private fun errorOf(
        call: String,
        target: EndlessTarget,
    ): TargetError? =
        runBlocking {
            val error = withTimeoutOrNull(LIMIT_MILLIS) { send(call, target.address).getError() }
            withTimeoutOrNull(LIMIT_MILLIS) { while (target.closedByCaller.get() == 0) delay(1) }
            expectThat(target.closedByCaller.get()).isGreaterThan(0)
            error
        }

    private suspend fun send(
        call: String,
        address: String,
    ): Result<Any, TargetError> =
        when (call) {
            "report" -> EngineDriver(client).report(address)
            "service call" ->
                ServiceDriver(client).call(address, ServiceRequest("POST", "/x", "text/plain", "x", null, LIMIT_MILLIS))
            else -> EngineDriver(client, IDLE_MILLIS).complete(address, EngineRequest("r", "m", "x", 1)) { }
        }

    private companion object {
        private const val LIMIT_MILLIS = 20_000L
        private const val IDLE_MILLIS = 500L
        private const val CALLS = 24
        private const val BUFFER_BYTES = 8_388_608L

        /** What a connection may have read before it notices that it must not. */
        private const val READ_BYTES = 1_048_576L
        private const val PAUSE_MILLIS = 50L
        private const val MAX_BYTES_SENT = 134_217_728L
        private const val HEAD = "HTTP/1.1 200 OK\r\n"
        private const val FILLER = "xxxxxxxxxxxxxxxx"

        /** What a target sends first, and then again and again. */
        private val BYTES =
            mapOf(
                "head" to ("${HEAD}x: " to FILLER),
                "interim heads" to ("" to "HTTP/1.1 100 Continue\r\n\r\n"),
                "body" to ("$HEAD\r\n" to FILLER),
                "chunked body" to ("${HEAD}Transfer-Encoding: chunked\r\n\r\n" to "4\r\nxxxx\r\n"),
                "blank lines" to ("$HEAD\r\n" to "\n\n\n\n"),
                "comments" to ("$HEAD\r\n" to ": x\n"),
                "fields" to ("$HEAD\r\n" to "a: x\n"),
            )
    }
}
