package bergamotwall.gateway.batches

import bergamotwall.decisions.batches.ItemMove
import bergamotwall.decisions.batches.ItemRun
import bergamotwall.decisions.batches.TargetPace
import bergamotwall.decisions.batches.itemsToMove
import bergamotwall.gateway.targets.SendPurpose
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetDependencies
import bergamotwall.model.TargetId
import org.tinylog.Logger

/**
 * Ends runs of items at targets that are much slower than others, so that they continue there; see [itemsToMove].
 * Applies to services whose targets report that their speed varies. Confined to the batch loop.
 */
internal class ItemMover(
    private val dependencies: TargetDependencies,
    private val paces: EventPaces,
) {
    private var nextAtMillis = Long.MIN_VALUE

    /** Moves runs of [batches], unless it has just done so. */
    fun step(batches: List<OwnedBatch>) {
        val nowMillis = dependencies.clock.monotonicMillis()
        if (nowMillis < nextAtMillis) return
        nextAtMillis = nowMillis + PERIOD_MILLIS
        val targets = dependencies.gatewayState.targets.read()
        val services = batches.flatMap { it.route.shares }.map { it.service }.distinct()
        for (service in services) {
            val usable = targets.usable(service)
            val varies = usable.any { dependencies.loads.of(it.id).latency.varies }
            val ofService = batches.filter { batch -> batch.route.shares.any { it.service == service } }
            if (varies) step(ofService, usable)
        }
    }

    private fun step(
        batches: List<OwnedBatch>,
        usable: List<Target>,
    ) {
        val running =
            batches.filter { it.maySend }.flatMap { batch ->
                batch.items.values.filter { it.target != null && !it.moving }.map { DispatchableItem(batch, it) }
            }
        val millis = paces.of(usable.map { it.id } + running.mapNotNull { it.item.target })
        if (running.isEmpty() || millis.isEmpty() || paces.typicalEvents == 0.0) return
        val candidates = dependencies.candidates(usable, SendPurpose.ITEM).associateBy { it.id }
        val targetPaces =
            millis.mapValues { (id, eventMillis) ->
                val candidate = candidates[id]?.takeIf { it.available }
                TargetPace(id, eventMillis, candidate?.free ?: 0, candidate?.slots ?: 1)
            }
        val runs = running.mapIndexed { ticket, item -> runOf(ticket, item, usable) }
        itemsToMove(runs, targetPaces, paces.typicalEvents, maxOf(1, runs.size / MOVED_PART))
            .forEach { move(running[it.ticket], it, targetPaces) }
    }

    private fun runOf(
        ticket: Int,
        running: DispatchableItem,
        usable: List<Target>,
    ) = ItemRun(
        ticket = ticket,
        target = checkNotNull(running.item.target),
        received = running.item.eventCount,
        eligible = usable.filter { running.continues(it) }.mapTo(HashSet()) { it.id },
        moves = running.item.moves,
    )

    private fun move(
        running: DispatchableItem,
        move: ItemMove,
        targetPaces: Map<TargetId, TargetPace>,
    ) {
        val (batch, item) = running
        val from = checkNotNull(item.target)
        Logger.info(
            "event=item_moved id={} from={} to={} events={} paces={},{} savedMillis={}",
            item.spec.id.value,
            from.value,
            move.target.value,
            item.eventCount,
            targetPaces[from]?.eventMillis?.toLong(),
            targetPaces[move.target]?.eventMillis?.toLong(),
            move.savedMillis,
        )
        item.moving = true
        item.moves++
        batch.groupTargets[item.spec.group] = move.target
        item.exchange?.cancel()
    }

    private companion object {
        private const val PERIOD_MILLIS = 100L

        /** Moves at once a tenth of the runs at most: what they free and take changes the speed of the targets. */
        private const val MOVED_PART = 10
    }
}
