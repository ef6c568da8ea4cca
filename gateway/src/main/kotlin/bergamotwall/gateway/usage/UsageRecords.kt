package bergamotwall.gateway.usage

import bergamotwall.drivers.Condition
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.drivers.Write
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.gateway.store.decodeDocument
import bergamotwall.model.FencingNumber
import bergamotwall.model.Jsons
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map

/** What came of the attempt to decide a report. */
internal sealed interface StoreOutcome {
    /** [report] is stored for its window: the one given, or one that was stored before. */
    data class Stored(val report: UsageReport) : StoreOutcome

    /** Something is stored for the window that this build can't read. */
    data object Unreadable : StoreOutcome

    /** The lease's key is not that of this leader any more. */
    data object NotLeading : StoreOutcome

    /** No response, or a refusal: the report may be stored, and must not be sent before that is known. */
    data class Unavailable(val cause: String) : StoreOutcome
}

/** The decided reports in the key-value service. */
internal class UsageRecords(private val store: KeyValueStore) {
    /** All stored reports by window; null for those that this build can't read. */
    suspend fun list(): Result<Map<Long, UsageReport?>, KeyValueError> =
        store.list(GatewayKeys.USAGE).map { listing ->
            listing.entries
                .mapNotNull { entry -> windowOf(entry.key)?.let { it to reportOf(entry) } }
                .toMap()
        }

    /**
     * Stores [report] unless its window has one, on condition that the lease of the leader with [fence] still exists.
     * Deletes the reports of the windows [obsolete].
     */
    suspend fun decide(
        report: UsageReport,
        fence: FencingNumber,
        obsolete: List<Long>,
    ): StoreOutcome {
        val key = GatewayKeys.usage(report.window)
        val text = Jsons.wire.encodeToString(UsageReport.serializer(), report)
        val conditions =
            listOf(Condition.Absent(key), Condition.Unchanged(GatewayKeys.USAGE_LEADER, fence.value))
        val writes = listOf(Write.Put(key, text)) + obsolete.map { Write.Delete(GatewayKeys.usage(it)) }
        return store.commit(Transaction(conditions, writes, listOf(key))).fold(
            success = { outcome ->
                when (outcome) {
                    is TransactionOutcome.Committed -> StoreOutcome.Stored(report)
                    is TransactionOutcome.Declined -> storedBefore(outcome.read.firstOrNull { it.key == key })
                }
            },
            failure = { StoreOutcome.Unavailable(it.detail) },
        )
    }

    private fun storedBefore(entry: KeyValueEntry?): StoreOutcome =
        if (entry == null) {
            StoreOutcome.NotLeading
        } else {
            reportOf(entry)?.let { StoreOutcome.Stored(it) } ?: StoreOutcome.Unreadable
        }

    private fun reportOf(entry: KeyValueEntry): UsageReport? =
        decodeDocument(UsageReport.serializer(), entry) { report ->
            if (report.window == windowOf(entry.key)) null else "is of another window"
        }

    private fun windowOf(key: String): Long? = key.removePrefix(GatewayKeys.USAGE).toLongOrNull()
}
