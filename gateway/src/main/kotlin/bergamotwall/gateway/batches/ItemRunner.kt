package bergamotwall.gateway.batches

import bergamotwall.gateway.http.Header
import bergamotwall.gateway.http.ResponsePart
import bergamotwall.gateway.http.TargetExchange
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetCall
import bergamotwall.gateway.targets.TargetDependencies
import bergamotwall.model.BatchRecord
import bergamotwall.model.WeightVersion
import com.github.michaelbull.result.fold
import kotlinx.coroutines.withTimeoutOrNull
import java.util.Base64

/**
 * Runs single attempts of items at targets and collects the generated text. An attempt fails if the target completes
 * no event for [idleTimeoutMillis], whatever else it sends. Confined to the batch loop.
 */
internal class ItemRunner(
    private val dependencies: TargetDependencies,
    private val idleTimeoutMillis: Long,
    private val paces: EventPaces,
) {
    private val budget = BodyBudget(Runtime.getRuntime().maxMemory() / BODIES_HEAP_PARTS)

    /**
     * Sends [item] of [batch] to [target]. The run resumes after the text of earlier attempts if the batch allows that.
     */
    suspend fun run(
        batch: OwnedBatch,
        item: ItemState,
        target: Target,
    ): ItemOutcome {
        val load = dependencies.loads.of(target.id)
        // Before the body is read, so that no other item is placed on the slot meanwhile.
        load.sent(dependencies.clock.monotonicMillis())
        try {
            val bodies = batch.bodies
            return if (bodies == null) {
                send(batch, item, target, Base64.getDecoder().decode(item.spec.bodyBase64)) { }
            } else {
                runLarge(batch, item, target, bodies)
            }
        } finally {
            load.ended()
        }
    }

    /** Reads the body of [item] from [bodies] first. Meanwhile the batch may have ended, or the target left. */
    private suspend fun runLarge(
        batch: OwnedBatch,
        item: ItemState,
        target: Target,
        bodies: StoredBodies,
    ): ItemOutcome {
        val bytes = bodies.byteCount(item.spec.id)
        budget.acquire(bytes)
        var held = true
        val release = {
            if (held) budget.release(bytes)
            held = false
        }
        try {
            val body = bodies.read(item.spec.id).fold({ it }, { return ItemOutcome.NotRun("body: ${it.detail}") })
            val usable = dependencies.gatewayState.targets.read().usable(target.service)
            return when {
                !batch.active -> ItemOutcome.Cancelled
                !batch.maySend || usable.none { it.id == target.id && it.address == target.address } ->
                    ItemOutcome.NotRun("not sent after its body was read")
                else -> send(batch, item, target, body, release)
            }
        } finally {
            release()
        }
    }

    /** Sends [item] with [body]; [onResponse] is called once the target, which has then read the body, responds. */
    private suspend fun send(
        batch: OwnedBatch,
        item: ItemState,
        target: Target,
        body: ByteArray,
        onResponse: () -> Unit,
    ): ItemOutcome {
        val load = dependencies.loads.of(target.id)
        val sentAtMillis = dependencies.clock.monotonicMillis()
        val eventsBefore = item.eventCount
        val exchange =
            dependencies.client.send(
                target.address,
                dependencies.protocol.request(callOf(batch.record, item, body), target),
            )
        item.exchange = exchange
        try {
            val received = receive(batch, item, target, exchange, onResponse)
            val outcome = if (item.moving && received is ItemOutcome.Broken) ItemOutcome.Moved else received
            when (outcome) {
                ItemOutcome.Whole -> {
                    val endedAtMillis = dependencies.clock.monotonicMillis()
                    load.latency.succeeded(sentAtMillis, endedAtMillis)
                    if (eventsBefore == 0) dependencies.work.itemCompleted(target.service, endedAtMillis - sentAtMillis)
                    load.latency.generated(item.eventCount - eventsBefore, sentAtMillis, endedAtMillis)
                    paces.completed(item.eventCount)
                }
                is ItemOutcome.Broken -> load.failed(dependencies.clock.monotonicMillis())
                is ItemOutcome.NotRun -> load.notRun(dependencies.clock.monotonicMillis(), outcome.full)
                is ItemOutcome.Unfit, ItemOutcome.ErrorAnswer, ItemOutcome.Impossible, ItemOutcome.Cancelled,
                ItemOutcome.Moved -> Unit
            }
            return outcome
        } finally {
            item.exchange = null
            exchange.cancel()
        }
    }

    private fun callOf(
        record: BatchRecord,
        item: ItemState,
        body: ByteArray,
    ): TargetCall {
        val headers = item.spec.headers.map { Header(it.name, it.value) } + Header("Host", record.host)
        val workspaces = dependencies.gatewayState.routes.read().workspaces
        return TargetCall(
            requestId = item.spec.id.value,
            method = "POST",
            path = item.spec.path,
            headers = headers,
            body = body,
            deadlineMillis = null,
            resumeAfter = item.lastEventId,
            repeatable = true,
            maxSilenceMillis = idleTimeoutMillis,
            workspace = record.workspace,
            removesKey = record.workspace != null || workspaces.active,
        )
    }

    private suspend fun receive(
        batch: OwnedBatch,
        item: ItemState,
        target: Target,
        exchange: TargetExchange,
        onResponse: () -> Unit,
    ): ItemOutcome {
        val first = next(exchange, idleTimeoutMillis)
        onResponse()
        return when (first) {
            is ResponsePart.Head -> handleHead(batch, item, target, first, exchange)
            is ResponsePart.Broken -> outcomeOf(first)
            else -> ItemOutcome.Broken("no response within $idleTimeoutMillis ms")
        }
    }

    private suspend fun handleHead(
        batch: OwnedBatch,
        item: ItemState,
        target: Target,
        head: ResponsePart.Head,
        exchange: TargetExchange,
    ): ItemOutcome {
        val metadata = dependencies.protocol.read(head)
        dependencies.responded(target, metadata, item.spec.id.value, item.sentAtMillis)
        val version = metadata.version?.let { WeightVersion(it) }
        return when {
            metadata.notRun -> ItemOutcome.NotRun("status ${head.status}", metadata.full)
            head.status == UNPROCESSABLE -> ItemOutcome.Impossible
            head.status >= FIRST_SERVER_ERROR && metadata.signed -> ItemOutcome.ErrorAnswer
            head.status != OK || !metadata.signed || version == null -> ItemOutcome.Broken("status ${head.status}")
            !batch.allowsVersion(item, version) -> ItemOutcome.Unfit(version)
            else -> collect(item, target, ItemCollector(batch, item, target, dependencies.protocol, version), exchange)
        }
    }

    private suspend fun collect(
        item: ItemState,
        target: Target,
        collector: ItemCollector,
        exchange: TargetExchange,
    ): ItemOutcome {
        var lastEventAtMillis = dependencies.clock.monotonicMillis()
        var first = true
        var outcome: ItemOutcome? = null
        while (outcome == null) {
            val eventCount = item.eventCount
            val remainingMillis = lastEventAtMillis + idleTimeoutMillis - dependencies.clock.monotonicMillis()
            outcome =
                when (val part = next(exchange, remainingMillis)) {
                    is ResponsePart.Body -> collector.add(part.bytes)
                    is ResponsePart.End -> collector.end()
                    is ResponsePart.Broken -> outcomeOf(part)
                    is ResponsePart.Head -> ItemOutcome.Broken("second response head")
                    null -> ItemOutcome.Broken("no event for $idleTimeoutMillis ms")
                }
            if (item.eventCount > eventCount) {
                val nowMillis = dependencies.clock.monotonicMillis()
                // The first one comes after the prompt was read.
                if (!first) paces.received(target.id, nowMillis - lastEventAtMillis, item.eventCount - eventCount)
                first = false
                lastEventAtMillis = nowMillis
            }
        }
        return outcome
    }

    private suspend fun next(
        exchange: TargetExchange,
        timeoutMillis: Long,
    ): ResponsePart? = withTimeoutOrNull(timeoutMillis) { exchange.next() }

    private fun outcomeOf(part: ResponsePart.Broken): ItemOutcome =
        if (part.mayHaveRun) ItemOutcome.Broken(part.reason) else ItemOutcome.NotRun(part.reason)

    private companion object {
        /** 6 MB of a heap of 96 MB. A body is in memory once more while it is written to the connection. */
        private const val BODIES_HEAP_PARTS = 16
        private const val OK = 200
        private const val UNPROCESSABLE = 422
        private const val FIRST_SERVER_ERROR = 500
    }
}
