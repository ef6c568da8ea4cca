package bergamotwall.gateway.usage

import bergamotwall.model.FencingNumber
import bergamotwall.model.NodeId
import kotlinx.coroutines.delay

/** The platform's API, on the time of a test. */
internal class FakeUsageApi(private val nowMillis: () -> Long) : UsageApi {
    /** How a call ends. */
    enum class Mode { ACCEPT, LIMIT, SILENT, LOSE_RESPONSE, SLOW }

    class Call(val atMillis: Long, val holder: NodeId, val fence: Long, val report: UsageReport)

    /** Calls that arrived. */
    val arrived = ArrayList<Call>()

    var mode = Mode.ACCEPT

    /** Runs while a process connects, before it sends the call. */
    var beforeSend: suspend (NodeId) -> Unit = {}

    override suspend fun send(
        report: UsageReport,
        holder: NodeId,
        fence: FencingNumber,
        mayAct: () -> Boolean,
    ): UsageOutcome {
        val mode = mode
        beforeSend(holder)
        if (!mayAct()) return UsageOutcome.NOT_SENT
        if (mode == Mode.SILENT) {
            delay(TIMEOUT_MILLIS)
            return UsageOutcome.UNKNOWN
        }
        if (mode == Mode.LIMIT) return UsageOutcome.LIMITED
        arrived += Call(nowMillis(), holder, fence.value, report)
        if (mode == Mode.LOSE_RESPONSE || mode == Mode.SLOW) delay(TIMEOUT_MILLIS)
        return if (mode == Mode.LOSE_RESPONSE) UsageOutcome.UNKNOWN else UsageOutcome.ACCEPTED
    }

    private companion object {
        private const val TIMEOUT_MILLIS = 1_000L
    }
}
