package bergamotwall.drivers.http

import bergamotwall.drivers.EngineRequest
import bergamotwall.drivers.ServiceRequest
import bergamotwall.drivers.http.ScriptedTarget.Ending
import bergamotwall.model.FencingNumber
import bergamotwall.model.ModelName
import bergamotwall.model.WeightOrder
import bergamotwall.model.WeightVersion
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo

/** What a target sent to an earlier call, or the beginning of a response, is no success of a driver's call. */
internal class ResponseOfEarlierCallTest {
    /** Before the response to [second], [leftover] comes on the connection that carried [first]. */
    data class Case(val first: Call, val second: Call, val leftover: Leftover) {
        override fun toString(): String = "$first, $leftover, $second"
    }

    /** A call, with the [body] of its responses. */
    enum class Call(val body: String) {
        REPORT("{}"),
        ORDER("{}"),
        SERVICE("{}"),
        COMPLETION("data: $EVENT\n\ndata: [DONE]\n\n"),
        VM_LIST("{}"),
    }

    enum class Leftover(val of: (String) -> String) {
        WHOLE({ it }),
        STATUS_LINE({ it.substringBefore("\r\n") + "\r\n" }),
        PART_OF_A_FIELD({ it.substringBefore("\r\n") + "\r\nServer: " }),
        PART_OF_A_STATUS_LINE({ it.substringBefore("\r\n") + " " }),
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `a call gets the response that the target has sent to it`(case: Case) {
        val first = responseOf(OK, case.first)
        val second = responseOf(FAILURE, case.second)
        ScriptedTarget { number, numberOnConnection ->
            if (number == 0) first else (if (numberOnConnection > 0) case.leftover.of(first) else "") + second
        }.use { target ->
            expectThat(resultOf(case.first, target)).isEqualTo(SUCCESS)
            expectThat(resultOf(case.second, target)).isEqualTo("status 500")
        }
    }

    @ParameterizedTest
    @MethodSource("calls")
    fun `a late response to a call that has timed out is not that to the next one`(call: Call) {
        ScriptedTarget { number, numberOnConnection ->
            val late = if (numberOnConnection > 0) responseOf(OK, call) else ""
            if (number == 0) "" else late + responseOf(FAILURE, call)
        }.use { target ->
            expectThat(resultOf(call, target, SHORT_MILLIS)).isNotEqualTo(SUCCESS)
            expectThat(resultOf(call, target)).isEqualTo("status 500")
        }
    }

    @ParameterizedTest
    @MethodSource("calls")
    fun `each call has a connection of its own, which is closed after it`(call: Call) {
        ScriptedTarget { _, _ -> responseOf(OK, call) }.use { target ->
            repeat(CALLS) { expectThat(resultOf(call, target)).isEqualTo(SUCCESS) }
            expectThat(target.connections).isEqualTo(CALLS)
            runBlocking { withTimeout(LIMIT_MILLIS) { while (target.closedByCaller < CALLS) delay(1) } }
        }
    }

    @ParameterizedTest
    @MethodSource("calls")
    fun `a head that stops and whose connection ends is no success`(call: Call) {
        for (ending in listOf(Ending.CLOSE, Ending.RESET)) {
            for (response in listOf(responseOf(OK, call), "$OK\r\nTransfer-Encoding: chunked\r\n\r\n", "$OK\r\n\r\n")) {
                val head = response.substringBefore("\r\n\r\n") + "\r\n\r"
                ScriptedTarget(ending) { number, _ -> head.take(number + 1) }.use { target ->
                    val successes = head.indices.map { resultOf(call, target) }.filter { it == SUCCESS }
                    expectThat(successes).isEmpty()
                }
            }
        }
    }

    companion object {
        private const val OK = "HTTP/1.1 200 OK"
        private const val FAILURE = "HTTP/1.1 500 Internal Server Error"
        private const val SUCCESS = "success"
        private const val EVENT = """{"choices":[{"text":"x","finish_reason":"stop"}],"weight_version":1}"""
        private const val LIMIT_MILLIS = 20_000L
        private const val SHORT_MILLIS = 200L
        private const val CALLS = 5
        private val client = targetClient()

        private fun responseOf(
            statusLine: String,
            call: Call,
        ) = "$statusLine\r\nContent-Length: ${call.body.length}\r\n\r\n${call.body}"

        /** [SUCCESS], or the detail of the error; the status of a service call that has failed. */
        private fun resultOf(
            call: Call,
            target: ScriptedTarget,
            timeoutMillis: Long = LIMIT_MILLIS,
        ): String =
            runBlocking {
                val engines = EngineDriver(client, timeoutMillis)
                val address = target.address
                val result =
                    when (call) {
                        Call.REPORT -> engines.report(address).map { SUCCESS }
                        Call.ORDER ->
                            engines
                                .order(address, WeightOrder(ModelName("m"), WeightVersion(1), FencingNumber(1)))
                                .map { SUCCESS }
                        Call.SERVICE ->
                            ServiceDriver(client)
                                .call(address, ServiceRequest("POST", "/x", "text/plain", "x", null, timeoutMillis))
                                .map { if (it.status == 200) SUCCESS else "status ${it.status}" }
                        Call.COMPLETION ->
                            engines.complete(address, EngineRequest("r", "m", "x", 1)) { }.map { SUCCESS }
                        Call.VM_LIST -> VmListSource(client, address).fetch().map { SUCCESS }
                    }
                result.fold({ it }, { it.detail })
            }

        /** The first call loads classes, which may take longer than the timeout of a report. */
        @BeforeAll
        @JvmStatic
        fun loadClasses() {
            ScriptedTarget { _, _ -> responseOf(OK, Call.SERVICE) }.use { resultOf(Call.SERVICE, it) }
        }

        @JvmStatic
        fun calls(): List<Call> = Call.entries

        @JvmStatic
        fun cases(): List<Case> {
            val pairs = Call.entries.map { it to it } + (Call.REPORT to Call.ORDER) + (Call.COMPLETION to Call.ORDER)
            return pairs.flatMap { (first, second) -> Leftover.entries.map { Case(first, second, it) } }
        }
    }
}
