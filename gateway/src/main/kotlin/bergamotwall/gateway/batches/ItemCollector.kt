package bergamotwall.gateway.batches

import bergamotwall.gateway.targets.TargetProtocol
import bergamotwall.model.WeightVersion

/** Adds the events of one run of [item] to its text, each with the version that made it. */
internal class ItemCollector(
    private val batch: OwnedBatch,
    private val item: ItemState,
    private val protocol: TargetProtocol,
    private var version: WeightVersion,
) {
    private val parser = EventParser()

    /** Takes in [bytes]; returns why the run can't go on, or null. */
    fun add(bytes: ByteArray): ItemOutcome? = parser.add(bytes).firstNotNullOfOrNull { take(it) }

    private fun take(event: StreamEvent): ItemOutcome? {
        version = protocol.eventVersion(event.fields)?.let { WeightVersion(it) } ?: version
        return when {
            !batch.fits(item, version) -> ItemOutcome.Unfit(version)
            !item.append(event, version) -> ItemOutcome.Broken("event ${event.id} out of order")
            else -> null
        }
    }
}
