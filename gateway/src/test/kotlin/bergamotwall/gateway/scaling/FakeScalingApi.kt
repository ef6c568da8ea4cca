package bergamotwall.gateway.scaling

import bergamotwall.model.DataCentre
import bergamotwall.model.FencingNumber
import bergamotwall.model.NodeId
import kotlinx.coroutines.delay

/** The platform's API, on the time of a test. [carryOut] is called with each order that takes effect. */
internal class FakeScalingApi(
    private val nowMillis: () -> Long,
    private val carryOut: suspend (TargetOrder) -> Unit,
) : ScalingApi {
    /** How a call ends. */
    enum class Mode { ACCEPT, LIMIT, SILENT, LOSE_RESPONSE, SLOW, REFUSE }

    class Call(val atMillis: Long, val holder: NodeId, val fence: Long, val order: TargetOrder)

    /** Calls that arrived. */
    val arrived = ArrayList<Call>()

    var mode = Mode.ACCEPT

    /** Data centres without targets to be had. */
    var exhausted = emptySet<DataCentre>()

    /** Runs while a process connects, before it sends the call. */
    var beforeSend: suspend (NodeId) -> Unit = {}

    override suspend fun send(
        order: TargetOrder,
        holder: NodeId,
        fence: FencingNumber,
        mayAct: () -> Boolean,
    ): ScalingOutcome {
        beforeSend(holder)
        return if (mayAct()) arrive(Call(nowMillis(), holder, fence.value, order)) else ScalingOutcome.NOT_SENT
    }

    private suspend fun arrive(call: Call): ScalingOutcome {
        val mode = mode
        arrived += call
        if (mode in setOf(Mode.SILENT, Mode.LOSE_RESPONSE, Mode.SLOW)) delay(TIMEOUT_MILLIS)
        val takesEffect = mode in setOf(Mode.ACCEPT, Mode.LOSE_RESPONSE, Mode.SLOW)
        if (takesEffect && call.order.pool.dataCentre in exhausted) return ScalingOutcome.NONE_AVAILABLE
        if (takesEffect) carryOut(call.order)
        return when (mode) {
            Mode.ACCEPT, Mode.SLOW -> ScalingOutcome.ACCEPTED
            Mode.LIMIT -> ScalingOutcome.LIMITED
            Mode.REFUSE -> ScalingOutcome.REFUSED
            Mode.SILENT, Mode.LOSE_RESPONSE -> ScalingOutcome.UNKNOWN
        }
    }

    private companion object {
        private const val TIMEOUT_MILLIS = 1_000L
    }
}
