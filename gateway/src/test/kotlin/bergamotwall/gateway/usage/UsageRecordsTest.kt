package bergamotwall.gateway.usage

import bergamotwall.drivers.Condition
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.drivers.Write
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.model.FencingNumber
import bergamotwall.model.Jsons
import bergamotwall.standins.fakes.CallFault
import bergamotwall.standins.fakes.ManualClock
import bergamotwall.standins.fakes.MemoryKeyValueStore
import com.github.michaelbull.result.get
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Two processes that believe that they lead decide a window with different counts, or a write is repeated. */
internal class UsageRecordsTest {
    private val store = MemoryKeyValueStore(ManualClock())
    private val records = UsageRecords(store)

    @ParameterizedTest(name = "stored before: {0}, another leader: {1}, fault: {2}")
    @CsvSource(
        "'', false, NONE, own",
        "'', true, NONE, not leading",
        "'', false, UNREACHABLE, unavailable",
        "'', false, LOST_RESPONSE, unavailable",
        "other, false, NONE, other",
        // What is stored is the report, whoever leads; a former leader may not send it any more.
        "other, true, NONE, other",
        "nonsense, false, NONE, unreadable",
    )
    fun `a window gets the report that is stored first`(
        storedBefore: String,
        anotherLeads: Boolean,
        fault: CallFault,
        outcome: String,
    ) = runTest {
        val fence = lead("a")
        if (anotherLeads) lead("b")
        if (storedBefore == "other") put(GatewayKeys.usage(WINDOW), encoded(report("other")))
        if (storedBefore == "nonsense") put(GatewayKeys.usage(WINDOW), "{\"window\":\"x\"")
        store.failWrites(fault)
        val decided = records.decide(report("own"), fence, emptyList())
        val description = when (decided) {
            is StoreOutcome.Stored -> decided.report.counts.keys.single()
            is StoreOutcome.Unavailable -> "unavailable"
            StoreOutcome.NotLeading -> "not leading"
            StoreOutcome.Unreadable -> "unreadable"
        }
        expectThat(description).isEqualTo(outcome)
        // The counts have changed since: what was stored counts, also if the response to the write was lost.
        if (fault == CallFault.LOST_RESPONSE) {
            expectThat(records.decide(report("later"), fence, emptyList()))
                .isEqualTo(StoreOutcome.Stored(report("own")))
        }
    }

    @Test
    fun `old reports are deleted by the write of a new one, and what can't be read is listed without a report`() =
        runTest {
            val fence = lead("a")
            put(GatewayKeys.usage(1), encoded(report("old").copy(window = 1)))
            put(GatewayKeys.usage(2), encoded(report("other window")))
            put("${GatewayKeys.USAGE}x", "no window")
            records.decide(report("new"), fence, obsolete = listOf(1))
            expectThat(records.list().get()).isEqualTo(mapOf(2L to null, WINDOW to report("new")))
        }

    @Test
    fun `the format has not changed, and fields of later builds are ignored`() {
        val text = """{"window":353445120,"counts":{"huka270":412},"acceptedBefore":353445119}"""
        val report = UsageReport(353_445_120, mapOf("huka270" to 412), 353_445_119)
        expectThat(encoded(report)).isEqualTo(text)
        val extended = text.replace("{\"window", "{\"added\":[1],\"window")
        expectThat(Jsons.wire.decodeFromString(UsageReport.serializer(), extended)).isEqualTo(report)
    }

    private fun report(workspace: String) = UsageReport(WINDOW, mapOf(workspace to 1))

    private fun encoded(report: UsageReport) = Jsons.wire.encodeToString(UsageReport.serializer(), report)

    /** Makes [node] the leader; returns its fencing token. */
    private suspend fun lead(node: String): FencingNumber {
        store.commit(Transaction(emptyList(), listOf(Write.Delete(GatewayKeys.USAGE_LEADER))))
        val condition = Condition.Absent(GatewayKeys.USAGE_LEADER)
        val put = Write.Put(GatewayKeys.USAGE_LEADER, node)
        return FencingNumber(
            (store.commit(Transaction(listOf(condition), listOf(put))).get() as TransactionOutcome.Committed).revision
        )
    }

    private suspend fun put(
        key: String,
        text: String,
    ) {
        store.commit(Transaction(emptyList(), listOf(Write.Put(key, text))))
    }

    private companion object {
        private const val WINDOW = 20L
    }
}
