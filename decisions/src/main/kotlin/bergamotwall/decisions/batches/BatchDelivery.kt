package bergamotwall.decisions.batches

import bergamotwall.model.BatchOrder
import bergamotwall.model.Manifest
import bergamotwall.model.Sample
import bergamotwall.model.WeightVersion

/**
 * Which samples of a batch may be delivered now. [fresh] are those to deliver, [expired] those that are too old;
 * [missingByGroup] is the number of samples that incomplete groups lack, by index of the group.
 */
public data class DeliverySelection(
    val fresh: List<Sample>,
    val expired: List<Sample>,
    val missingByGroup: Map<Int, Int>,
) {
    /** Whether every group has enough fresh samples. */
    public val complete: Boolean get() = missingByGroup.isEmpty()
}

/** Whether [sample] is at most [bound] versions behind [published]. */
public fun isFresh(
    sample: Sample,
    published: WeightVersion,
    bound: Int,
): Boolean = sample.versions.isNotEmpty() && sample.versions.min().value >= published.value - bound

/**
 * Decides which of [samples] are delivered for [order]. A group gets at most as many as it asks for, the first ones in
 * the order of [samples].
 */
public fun decideDelivery(
    order: BatchOrder,
    samples: List<Sample>,
    published: WeightVersion,
    bound: Int,
): DeliverySelection {
    val (fresh, expired) = samples.distinctBy { it.id }.partition { isFresh(it, published, bound) }
    val byGroup = fresh.groupBy { it.group }
    val chosen = order.groups.flatMapIndexed { index, spec -> byGroup[index].orEmpty().take(spec.enough) }
    val missing =
        order.groups
            .mapIndexed { index, spec -> index to spec.enough - byGroup[index].orEmpty().size }
            .filter { it.second > 0 }
            .toMap()
    return DeliverySelection(chosen, expired, missing)
}

/** How to handle a trainer's order for a batch, given the committed manifest. */
public sealed interface BatchStep {
    /** Redeliver the samples of [manifest]. */
    public data class Redeliver(val manifest: Manifest) : BatchStep

    /** Generate batch [number] as attempt [attempt]; the order acknowledges all earlier batches. */
    public data class Generate(val number: Long, val attempt: Int) : BatchStep

    /** The order is neither for the committed batch nor for the one after it. */
    public data class OutOfOrder(val committed: Long) : BatchStep

    /** The order differs from the one that batch [number] was committed for. */
    public data class Changed(val number: Long) : BatchStep
}

/** Decides how to handle the order for batch [number] with hash [orderHash]; [committed] is the newest manifest. */
public fun decideBatch(
    number: Long,
    orderHash: Long,
    committed: Manifest?,
): BatchStep =
    when {
        committed == null && number == 1L -> BatchStep.Generate(number, 1)
        committed == null -> BatchStep.OutOfOrder(0)
        number == committed.batch && orderHash != committed.orderHash -> BatchStep.Changed(number)
        number == committed.batch -> BatchStep.Redeliver(committed)
        number == committed.batch + 1 -> BatchStep.Generate(number, 1)
        else -> BatchStep.OutOfOrder(committed.batch)
    }
