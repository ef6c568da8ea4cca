package bergamotwall.gateway.batches

import bergamotwall.gateway.http.AnswerPart
import bergamotwall.gateway.http.Header
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetCall
import bergamotwall.gateway.targets.TargetParts
import bergamotwall.model.BatchRecord
import bergamotwall.model.WeightVersion
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.withTimeoutOrNull
import java.util.Base64

/** Runs one attempt of an item at a target and collects its text. Confined to the batch loop. */
internal class ItemRunner(
    private val work: TargetParts,
    private val silenceMillis: Long,
) {
    /** Sends [item] of [batch] to [target]; text held from earlier attempts is gone on with where its versions fit. */
    suspend fun run(
        batch: OwnedBatch,
        item: ItemState,
        target: Target,
    ): ItemOutcome {
        val load = work.loads.of(target.id)
        val sentAtMillis = work.clock.monotonicMillis()
        load.sent(sentAtMillis)
        val exchange = work.client.send(target.address, work.protocol.request(callOf(batch.record, item), target))
        item.exchange = exchange
        try {
            val outcome = receive(batch, item, target, exchange.parts)
            when (outcome) {
                ItemOutcome.Whole -> load.succeeded(work.clock.monotonicMillis() - sentAtMillis)
                is ItemOutcome.Broken -> load.failed(work.clock.monotonicMillis())
                is ItemOutcome.NotRun -> load.notRun(work.clock.monotonicMillis(), outcome.full)
                is ItemOutcome.Unfit, ItemOutcome.ErrorAnswer, ItemOutcome.Impossible, ItemOutcome.Cancelled -> Unit
            }
            return outcome
        } finally {
            item.exchange = null
            load.ended()
            exchange.cancel()
        }
    }

    private fun callOf(
        record: BatchRecord,
        item: ItemState,
    ): TargetCall {
        val headers = item.spec.headers.map { Header(it.name, it.value) } + Header("Host", record.host)
        val body = Base64.getDecoder().decode(item.spec.bodyBase64)
        return TargetCall(item.spec.id.value, "POST", item.spec.path, headers, body, null, item.lastEventId)
    }

    private suspend fun receive(
        batch: OwnedBatch,
        item: ItemState,
        target: Target,
        parts: ReceiveChannel<AnswerPart>,
    ): ItemOutcome =
        when (val first = next(parts)) {
            is AnswerPart.Head -> answered(batch, item, target, first, parts)
            is AnswerPart.Broken -> broken(first)
            else -> ItemOutcome.Broken("no answer in $silenceMillis ms")
        }

    private suspend fun answered(
        batch: OwnedBatch,
        item: ItemState,
        target: Target,
        head: AnswerPart.Head,
        parts: ReceiveChannel<AnswerPart>,
    ): ItemOutcome {
        val facts = work.protocol.read(head)
        facts.load?.let { work.loads.of(target.id).reported(it, work.clock.monotonicMillis()) }
        if (facts.genuine && !facts.notRun) work.loads.of(target.id).answering()
        val version = facts.version?.let { WeightVersion(it) }
        return when {
            facts.notRun -> ItemOutcome.NotRun("status ${head.status}", facts.full)
            head.status == IMPOSSIBLE -> ItemOutcome.Impossible
            head.status >= FIRST_ERROR && facts.genuine -> ItemOutcome.ErrorAnswer
            head.status != OK || !facts.genuine || version == null -> ItemOutcome.Broken("status ${head.status}")
            !batch.fits(item, version) -> ItemOutcome.Unfit(version)
            else -> collect(batch, item, version, parts)
        }
    }

    private suspend fun collect(
        batch: OwnedBatch,
        item: ItemState,
        firstVersion: WeightVersion,
        parts: ReceiveChannel<AnswerPart>,
    ): ItemOutcome {
        val collector = ItemCollector(batch, item, work.protocol, firstVersion)
        var outcome: ItemOutcome? = null
        while (outcome == null) {
            outcome =
                when (val part = next(parts)) {
                    is AnswerPart.Body -> collector.add(part.bytes)
                    is AnswerPart.End -> ItemOutcome.Whole
                    is AnswerPart.Broken -> broken(part)
                    is AnswerPart.Head -> ItemOutcome.Broken("second head")
                    null -> ItemOutcome.Broken("silent for $silenceMillis ms")
                }
        }
        return outcome
    }

    private suspend fun next(parts: ReceiveChannel<AnswerPart>): AnswerPart? =
        withTimeoutOrNull(silenceMillis) { parts.receiveCatching().getOrNull() }

    private fun broken(part: AnswerPart.Broken): ItemOutcome =
        if (part.mayHaveRun) ItemOutcome.Broken(part.reason) else ItemOutcome.NotRun(part.reason)

    private companion object {
        private const val OK = 200
        private const val IMPOSSIBLE = 422
        private const val FIRST_ERROR = 500
    }
}
