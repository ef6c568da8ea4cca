package bergamotwall.gateway.weights

import bergamotwall.gateway.targets.Target
import bergamotwall.model.FencingNumber
import bergamotwall.model.ModelName
import bergamotwall.model.NodeId
import bergamotwall.model.WeightVersion

/** Orders to engines; differs by platform. */
public interface WeightOrders {
    /** What [target] states of itself, or null if it does not answer. */
    public suspend fun report(target: Target): EngineReport?

    /** Sends [order] to [target]. */
    public suspend fun send(
        target: Target,
        order: WeightOrder,
    ): OrderOutcome
}

/** State of an engine: orders it accepted since its start, whether one is under way, and the versions it runs. */
public data class EngineReport(
    val acceptedOrders: Long,
    val busy: Boolean,
    val versions: Map<ModelName, WeightVersion>,
)

/**
 * Order to run [version] of [model]. [expectedOrders] makes an order that is carried out late void: the engine refuses
 * it if it accepted another since. [keepRuns]: runs under way go on under the new version, else they end first.
 */
public data class WeightOrder(
    val model: ModelName,
    val version: WeightVersion,
    val holder: NodeId,
    val fence: FencingNumber,
    val expectedOrders: Long,
    val keepRuns: Boolean,
)

/** How an order was answered. */
public enum class OrderOutcome {
    /** It is being carried out. */
    ACCEPTED,

    /** The engine runs that version already. */
    HOLDS_ALREADY,

    /** Another order is under way, or the engine accepted others than expected. */
    CONFLICT,

    /** The engine refuses it: an older fencing number, or not a valid order. */
    REFUSED,

    /** No answer: it may be carried out, also later. */
    UNKNOWN,
}
