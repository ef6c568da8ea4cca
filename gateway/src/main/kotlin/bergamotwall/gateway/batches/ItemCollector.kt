package bergamotwall.gateway.batches

import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetProtocol
import bergamotwall.model.WeightVersion

/**
 * Appends the events that one run of [item] at [target] streams to its text, each with the weight version that
 * generated it.
 */
internal class ItemCollector(
    private val batch: OwnedBatch,
    private val item: ItemState,
    private val target: Target,
    private val protocol: TargetProtocol,
    private var version: WeightVersion,
) {
    private val parser = EventParser()

    /** Adds the next [bytes] of the response; returns the outcome of a run that cannot continue, else null. */
    fun add(bytes: ByteArray): ItemOutcome? =
        parser.add(bytes).firstNotNullOfOrNull { append(it) }
            ?: ItemOutcome.Broken("no event in $MAX_BYTES_WITHOUT_EVENT bytes").takeIf {
                parser.bytesWithoutEvent > MAX_BYTES_WITHOUT_EVENT
            }

    /** The outcome of a run whose response ends now. */
    fun end(): ItemOutcome =
        if (parser.insideEvent) ItemOutcome.Broken("the response ended inside an event") else ItemOutcome.Whole

    private fun append(event: StreamEvent): ItemOutcome? {
        version = protocol.eventVersion(event.fields)?.let { WeightVersion(it) } ?: version
        return when {
            !batch.allowsVersion(item, version) -> ItemOutcome.Unfit(version)
            !item.append(event, version, target.softwareVersion) -> ItemOutcome.Broken("event ${event.id} out of order")
            item.textBytes > MAX_TEXT_BYTES -> tooLong()
            else -> null
        }
    }

    /** The text can't be stored, so the item starts over. */
    private fun tooLong(): ItemOutcome {
        item.discardText()
        return ItemOutcome.Broken("more than $MAX_TEXT_BYTES bytes of text")
    }

    private companion object {
        /** The key-value service stores no larger values. */
        private const val MAX_BYTES_WITHOUT_EVENT = 1_048_576

        /** The rest of such a value is for the item's id, versions and score. */
        private const val MAX_TEXT_BYTES = 1_000_000
    }
}
