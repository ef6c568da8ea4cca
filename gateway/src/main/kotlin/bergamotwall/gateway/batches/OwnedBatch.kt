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
 * A batch that this process runs: its items and the results that are durable. Confined to the batch loop.
 *
 * [acceptedAtMillis] is on the monotonic clock; an adopted batch counts from its adoption.
 */
internal class OwnedBatch(
    val record: BatchRecord,
    var owned: OwnedRecord,
    var route: Route,
    val acceptedAtMillis: Long,
    listed: List<ItemResult>,
) {
    private val results = ArrayList(listed)
    private val pending = ArrayDeque<ItemResult>()
    private val listedCount = MutableStateFlow(listed.size)
    private val listedIds = listed.mapTo(HashSet()) { it.item }

    /** Items by id, in the order of the batch. */
    val items: Map<ItemId, ItemState> =
        record.items.associate { spec ->
            spec.id to ItemState(spec).also { it.done = spec.id in listedIds }
        }

    /** Place of each group in the batch. */
    val groupOrder: Map<String, Int> =
        record.items.map { it.group }.distinct().withIndex().associate { (index, group) -> group to index }

    /** Where the items of each group ran last. */
    val groupTargets: MutableMap<String, TargetId> = HashMap()

    /** Whether the trainer has ended it. */
    var ended = owned.ownership.ended

    /** Whether another process has taken it over. */
    var lost = false

    /** Whether items may still be sent. */
    val active: Boolean get() = !ended && !lost

    /** Items that are not done. */
    val unfinished: Int get() = items.values.count { !it.done }

    /** Results that are durable. */
    val listedResults: Int get() = results.size

    /** Results that wait to become durable. */
    val pendingResults: List<ItemResult> get() = pending.toList()

    /** Whether a run of [item] under [version] keeps to the terms of the batch. */
    fun fits(
        item: ItemState,
        version: WeightVersion,
    ): Boolean {
        val single = route.batch?.singleVersion == true
        return version >= record.minVersion && (!single || item.versions().all { it == version })
    }

    /** Marks [item] as done; its result becomes visible once durable. */
    fun complete(
        item: ItemState,
        failed: Boolean,
    ) {
        item.done = true
        pending += item.result(failed)
    }

    /** The first [count] pending results are durable. */
    fun listed(count: Int) {
        repeat(count) { results += pending.removeFirst() }
        listedCount.value = results.size
    }

    /** Results from [after] on, waiting up to [waitMillis] for the first one; as many as fit in [maxChars]. */
    suspend fun page(
        after: Int,
        waitMillis: Long,
        maxChars: Int,
    ): BatchPage {
        if (results.size <= after && waitMillis > 0 && results.size < record.items.size) {
            withTimeoutOrNull(waitMillis) { listedCount.first { it > after } }
        }
        return pageOf(record.items.size, results, after, maxChars)
    }

    /** Body of [item] in base64, or null if there is no such item. */
    fun body(item: ItemId): String? = items[item]?.spec?.bodyBase64

    /** Ends all runs under way. */
    fun cancelRuns() {
        items.values.forEach { it.exchange?.cancel() }
    }
}

/** The page of [results] from [after] on that fits in [maxChars], with one result at least if there is one. */
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

/** Ids, versions and punctuation of one result in a page. */
private const val RESULT_OVERHEAD_CHARS = 200
