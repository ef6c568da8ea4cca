package bergamotwall.gateway.batches

import bergamotwall.gateway.routes.Route
import bergamotwall.model.BatchPage
import bergamotwall.model.BatchRecord
import bergamotwall.model.ItemId
import bergamotwall.model.ItemResult
import bergamotwall.model.TargetId
import bergamotwall.model.WeightVersion
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull

/**
 * A batch that this process runs: the state of its items, and its results, which are first pending and then stored
 * durably. Confined to the batch loop.
 *
 * [acceptedAtMillis] is on the monotonic clock; for an adopted batch it is the time of adoption. [stored] holds the
 * results that earlier owners stored.
 */
internal class OwnedBatch(
    val record: BatchRecord,
    var ownershipRecord: OwnershipRecord,
    var route: Route,
    val acceptedAtMillis: Long,
    stored: List<ItemResult>,
) {
    private val results = ArrayList(stored)
    private val pending = ArrayDeque<ItemResult>()
    private val storedCount = MutableStateFlow(stored.size)
    private val storedIds = stored.mapTo(HashSet()) { it.item }

    /** Items by id, in the order of the batch. */
    val items: Map<ItemId, ItemState> =
        record.items.associate { spec ->
            spec.id to ItemState(spec).also { it.done = spec.id in storedIds }
        }

    /** Position of each group in the batch. */
    val groupOrder: Map<String, Int> =
        record.items.map { it.group }.distinct().withIndex().associate { (index, group) -> group to index }

    /** Target to which an item of each group was sent last. */
    val groupTargets: MutableMap<String, TargetId> = HashMap()

    /** Waits and eligible targets of its items, for the log. */
    val placement = PlacementSummary()

    /** Whether the trainer has ended the batch. */
    var ended = ownershipRecord.ownership.ended

    /** Whether this process has stopped running the batch, because another process may own it. */
    var relinquished = false

    /** Whether items may still be sent. */
    val active: Boolean get() = !ended && !relinquished

    /** Number of items that are not done. */
    val unfinished: Int get() = items.values.count { !it.done }

    /**
     * Whether a chunk of results has been sent to the key-value service and it is not known whether it is stored.
     * Readers that asked the service may have seen its results.
     */
    var appendUnresolved = false

    /** Number of results that are stored durably. */
    val storedResultCount: Int get() = results.size

    /** Results that wait to be stored durably. */
    val pendingResults: List<ItemResult> get() = pending.toList()

    /**
     * Whether the batch allows weight [version] for [item]: not older than its minimum and, if its route requires a
     * single version, the same that generated the text received so far.
     */
    fun allowsVersion(
        item: ItemState,
        version: WeightVersion,
    ): Boolean {
        val single = route.batch?.singleVersion == true
        return version >= record.minVersion && (!single || item.versions().all { it == version })
    }

    /** Marks [item] as done. Readers see its result once it is stored durably. */
    fun complete(
        item: ItemState,
        failed: Boolean,
    ) {
        item.done = true
        pending += item.result(failed)
    }

    /** Marks the first [count] pending results as stored durably. */
    fun markStored(count: Int) {
        repeat(count) { results += pending.removeFirst() }
        storedCount.value = results.size
    }

    /**
     * Returns the results from position [after] on that fit in [maxChars], waiting up to [waitMillis] for the first
     * one. Returns null if there is none but the key-value service may hold some.
     */
    suspend fun page(
        after: Int,
        waitMillis: Long,
        maxChars: Int,
    ): BatchPage? {
        if (results.size <= after && waitMillis > 0 && results.size < record.items.size) {
            withTimeoutOrNull(waitMillis) { storedCount.first { it > after } }
        }
        val mayLackResults = results.size <= after && appendUnresolved
        return if (mayLackResults) null else pageOf(record.items.size, results, after, maxChars)
    }

    /** Request body of [item] in base64, or null if the batch has no such item. */
    fun body(item: ItemId): String? = items[item]?.spec?.bodyBase64

    /** Cancels all runs in progress. */
    fun cancelRuns() {
        items.values.forEach { it.exchange?.cancel() }
    }
}

/** Returns the [results] from position [after] on that fit in [maxChars], but at least one if there is any. */
internal fun pageOf(
    total: Int,
    results: List<ItemResult>,
    after: Int,
    maxChars: Int,
): BatchPage {
    var chars = 0
    val page =
        results.drop(after).takeWhile { result ->
            val first = chars == 0
            chars += result.text.length + RESULT_OVERHEAD_CHARS
            first || chars <= maxChars
        }
    return BatchPage(total, page)
}

/** Estimate for the id, versions and punctuation of one result in a page. */
private const val RESULT_OVERHEAD_CHARS = 200
