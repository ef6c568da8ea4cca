package bergamotwall.gateway.batches

import bergamotwall.gateway.routes.Route
import bergamotwall.model.BatchPage
import bergamotwall.model.BatchRecord
import bergamotwall.model.ItemId
import bergamotwall.model.ItemResult
import bergamotwall.model.TargetId
import bergamotwall.model.WeightVersion
import com.github.michaelbull.result.fold
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow

/**
 * A batch that this process runs: the state of its items, and its results, which are first pending and then stored
 * durably. Confined to the batch loop.
 *
 * [acceptedAtMillis] is on the monotonic clock; for an adopted batch it is the time of adoption. [stored] holds the
 * results that earlier owners stored, [storedTexts] the texts that they stored for scoring.
 */
internal class OwnedBatch(
    val record: BatchRecord,
    val known: KnownOwnership,
    var route: Route,
    val acceptedAtMillis: Long,
    stored: List<ItemResult>,
    storedTexts: List<ItemResult> = emptyList(),
) {
    /** Reads the bodies of the items of a large batch, which are not in memory; null for other batches. */
    var bodies: StoredBodies? = null

    private val results = ArrayList(stored)
    private val pending = ArrayDeque<ItemResult>()
    private val pendingForScoring = ArrayDeque<ItemResult>()
    private val storedCount = MutableStateFlow(stored.size)

    /** Number of results that are stored durably, as it changes. */
    val storedCounts: StateFlow<Int> get() = storedCount

    /** Items by id, in the order of the batch. */
    val items: Map<ItemId, ItemState> = record.items.associate { it.id to ItemState(it) }

    /** Position of each group in the batch. */
    val groupOrder: Map<String, Int> =
        record.items.map { it.group }.distinct().withIndex().associate { (index, group) -> group to index }

    /** Target to which an item of each group was sent last. */
    val groupTargets: MutableMap<String, TargetId> = HashMap()

    /** Waits and eligible targets of its items, for the log. */
    val placement = PlacementSummary()

    /** Whether the trainer has ended the batch. */
    var ended = known.record.ownership.ended

    /** Whether this process has stopped running the batch, because another process may own it. */
    var relinquished = false

    /** Whether items may still be sent. */
    val active: Boolean get() = !ended && !relinquished

    /** Whether items may be sent now: it is known recently enough that no other process has taken over the batch. */
    val maySend: Boolean get() = active && known.mayStartWork

    /** Whether all results are stored durably. */
    val complete: Boolean get() = results.size == record.items.size

    /** Whether no process can add results any more. */
    val settled: Boolean get() = known.record.ownership.ended || complete

    /** When all results are due, on the monotonic clock. */
    val dueAtMillis: Long get() = acceptedAtMillis + (route.batch?.runTargetMillis ?: 0)

    /** Characters of the bodies and results that the batch holds in memory. */
    var heldChars: Long = record.items.sumOf { it.bodyBase64.length.toLong() } + stored.sumOf { it.text.length }
        private set

    /** Number of items that are not done. */
    val unfinished: Int get() = items.values.count { !it.done }

    /**
     * Whether a chunk of results has been sent to the key-value service and it is not known whether it is stored.
     * Readers that asked the service may have seen its results.
     */
    var appendUnresolved = false

    /** Number of texts that were stored durably before they were scored. */
    var storedTextCount: Int = storedTexts.size
        private set

    init {
        storedTexts.forEach { text -> items[text.item]?.phase = ItemPhase.AwaitingScore(text) }
        stored.forEach { result -> items[result.item]?.phase = ItemPhase.Done }
    }

    /** Number of results that are stored durably. */
    val storedResultCount: Int get() = results.size

    /** Results that wait to be stored durably. */
    val pendingResults: List<ItemResult> get() = pending

    /** Texts that wait to be stored durably, so that they can be scored. */
    val pendingTexts: List<ItemResult> get() = pendingForScoring

    /** Whether an item waits to be sent, or its text for a reward call. */
    val hasWaitingWork: Boolean
        get() =
            items.values.any { item ->
                when (item.phase) {
                    ItemPhase.Generating -> !item.running
                    is ItemPhase.AwaitingScore -> item.reward?.job == null
                    else -> false
                }
            }

    /** Number of items of [group] whose texts are not complete. */
    fun ungenerated(group: String): Int =
        items.values.count { it.spec.group == group && it.phase == ItemPhase.Generating }

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

    /** Marks the text of [item] as complete. If it has a reward call, the text is to be stored and then scored. */
    fun generated(item: ItemState) {
        val text = item.text()
        if (item.reward == null) {
            complete(item, text)
        } else {
            item.phase = ItemPhase.Generated(text)
            pendingForScoring += text
        }
    }

    /** Marks [item] as completed with [score], which its reward call returned for its stored text. */
    fun scored(
        item: ItemState,
        score: String,
    ) {
        val phase = item.phase
        check(phase is ItemPhase.AwaitingScore) { "item ${item.spec.id.value} is not awaiting its score: $phase" }
        complete(item, phase.text.copy(score = score))
    }

    /** Marks [item] as errored. */
    fun fail(item: ItemState): Unit = complete(item, ItemResult(item.spec.id, true, "", emptyList()))

    private fun complete(
        item: ItemState,
        result: ItemResult,
    ) {
        item.phase = ItemPhase.Done
        item.discardText()
        pending += result
    }

    /** Marks [append], the first pending results and texts, as stored durably. */
    fun markStored(append: ResultAppend) {
        repeat(append.results.size) { results += pending.removeFirst() }
        heldChars += append.results.sumOf { it.text.length }
        repeat(append.texts.size) {
            val text = pendingForScoring.removeFirst()
            items.getValue(text.item).phase = ItemPhase.AwaitingScore(text)
        }
        storedTextCount += append.texts.size
        storedCount.value = results.size
    }

    /**
     * Returns the results from position [after] on that fit in [maxBytes]. Returns null if there is none but the
     * key-value service may hold some.
     */
    fun page(
        after: Int,
        maxBytes: Int,
    ): BatchPage? {
        val otherMayAppend = !settled && (relinquished || !known.current)
        val mayLackResults = results.size <= after && (appendUnresolved || otherMayAppend)
        return if (mayLackResults) null else pageOf(record.items.size, results, after, maxBytes)
    }

    /** Request body of [item] in base64, or null if the batch has no such item. Not for large batches, see [bodies]. */
    fun body(item: ItemId): String? = items[item]?.spec?.bodyBase64

    /** Cancels all runs in progress. */
    fun cancelRuns() {
        items.values.forEach { it.exchange?.cancel() }
    }
}

/** Reads the request body of [item]. */
internal suspend fun OwnedBatch.readBody(item: ItemId): ReadOutcome {
    val stored = bodies.takeIf { item in items } ?: return bodyOf(body(item))
    return stored.read(item).fold({ ReadOutcome.Body(it) }, { ReadOutcome.Unavailable(it.detail) })
}

/** Returns the [results] from position [after] on that fit in [maxBytes], but at least one if there is any. */
internal fun pageOf(
    total: Int,
    results: List<ItemResult>,
    after: Int,
    maxBytes: Int,
): BatchPage {
    var bytes = 0
    val page =
        results.drop(after).takeWhile { result ->
            val first = bytes == 0
            bytes += encodedBytesOf(result)
            first || bytes <= maxBytes
        }
    return BatchPage(total, page)
}
