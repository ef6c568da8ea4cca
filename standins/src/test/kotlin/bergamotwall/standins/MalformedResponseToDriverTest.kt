package bergamotwall.standins

import bergamotwall.drivers.EngineRequest
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.ServiceRequest
import bergamotwall.drivers.TargetError
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.VmListSource
import bergamotwall.drivers.etcd.KeyValueStore
import bergamotwall.drivers.http.EngineDriver
import bergamotwall.drivers.http.ServiceDriver
import bergamotwall.drivers.http.VmListSource
import bergamotwall.drivers.http.targetClient
import bergamotwall.model.FencingNumber
import bergamotwall.model.ModelName
import bergamotwall.model.WeightOrder
import bergamotwall.model.WeightVersion
import bergamotwall.standins.fakes.OddResponse
import bergamotwall.standins.fakes.RawTargetStandIn
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** A malformed response is taken for the response to a call of a driver. */
internal class MalformedResponseToDriverTest {
    private val client = targetClient()
    private val engines = EngineDriver(client, LIMIT_MILLIS)

    /** A call, the [body] of its response, and the [outcome] if there is none that can be read. */
    enum class Call(val body: String, val outcome: String) {
        REPORT("{}", BROKEN),
        ORDER("{}", BROKEN),
        SERVICE("{}", BROKEN),
        COMPLETION("data: $EVENT\n\ndata: [DONE]\n\n", BROKEN),
        VM_LIST("{}", BROKEN),
        KEY("{}", UNAVAILABLE),
        TRANSACTION("""{"succeeded":true}""", MAY_HAVE_APPLIED),
        WATCH("""{"result":{"events":[{"type":"PUT","kv":{"key":"","value":""}}]}}""" + "\n", ENDED),
    }

    @ParameterizedTest
    @EnumSource
    fun `a call whose response is malformed has failed`(call: Call) {
        val others = OddResponse.malformed.map { it to outcomeOf(call, it) }.filter { it.second != call.outcome }
        expectThat(others).isEmpty()
    }

    @ParameterizedTest
    @EnumSource
    fun `a call gets a sound response`(call: Call) {
        val expected = OddResponse.rare.filter { it.status == "200" || call == Call.SERVICE || call == Call.WATCH }
        val outcomes = expected.map { "$it: ${outcomeOf(call, it)}" }
        val statusOf = { response: OddResponse -> if (call == Call.SERVICE) response.status else "" }
        expectThat(outcomes).isEqualTo(expected.map { "$it: $SUCCESS${statusOf(it)}" })
    }

    private fun outcomeOf(
        call: Call,
        response: OddResponse,
    ): String =
        RawTargetStandIn { response.bytes(listOf("Server: s"), call.body) }.use { target ->
            runBlocking { send(call, target.address) }
        }

    private suspend fun send(
        call: Call,
        address: String,
    ): String =
        when (call) {
            Call.REPORT -> textOf(engines.report(address))
            Call.ORDER ->
                textOf(engines.order(address, WeightOrder(ModelName("m"), WeightVersion(1), FencingNumber(1))))
            Call.SERVICE -> {
                val request = ServiceRequest("POST", "/x", "text/plain", "x", null, LIMIT_MILLIS)
                ServiceDriver(client).call(address, request).fold({ "$SUCCESS${it.status}" }, ::textOf)
            }
            Call.COMPLETION -> textOf(engines.complete(address, EngineRequest("r", "m", "x", 1)) { })
            Call.VM_LIST -> textOf(VmListSource(client, address).fetch())
            Call.KEY -> storeAt(address).get("k").fold({ SUCCESS }, ::textOf)
            Call.TRANSACTION ->
                storeAt(address).commit(Transaction(emptyList(), emptyList())).fold({ SUCCESS }, ::textOf)
            Call.WATCH -> {
                val entries = runCatching { storeAt(address).watch("k", 1).toList() }
                if (entries.getOrNull().isNullOrEmpty()) ENDED else SUCCESS
            }
        }

    private fun storeAt(address: String) = KeyValueStore(address, LIMIT_MILLIS)

    private fun textOf(result: Result<Any, TargetError>): String = result.fold({ SUCCESS }, ::textOf)

    private fun textOf(error: TargetError): String = if (error is TargetError.Broken) BROKEN else "$error"

    private fun textOf(error: KeyValueError): String =
        when {
            error !is KeyValueError.Unavailable -> "$error"
            error.mayHaveApplied -> MAY_HAVE_APPLIED
            else -> UNAVAILABLE
        }

    private companion object {
        private const val LIMIT_MILLIS = 20_000L
        private const val SUCCESS = "success"
        private const val BROKEN = "broken"
        private const val UNAVAILABLE = "unavailable"
        private const val MAY_HAVE_APPLIED = "may have applied"
        private const val ENDED = "ended"
        private const val EVENT = """{"choices":[{"text":"x","finish_reason":"stop"}],"weight_version":1}"""
    }
}
