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
        beforeSend(holder)
        return if (mayAct()) arrive(Call(nowMillis(), holder, fence.value, report)) else UsageOutcome.NOT_SENT
    }

    private suspend fun arrive(call: Call): UsageOutcome {
        val mode = mode
        if (mode != Mode.SILENT && mode != Mode.LIMIT) arrived += call
        if (mode != Mode.ACCEPT && mode != Mode.LIMIT) delay(TIMEOUT_MILLIS)
        return when (mode) {
            Mode.ACCEPT, Mode.SLOW -> UsageOutcome.ACCEPTED
            Mode.LIMIT -> UsageOutcome.LIMITED
            Mode.SILENT, Mode.LOSE_RESPONSE -> UsageOutcome.UNKNOWN
        }
    }

    private companion object {
        private const val TIMEOUT_MILLIS = 1_000L
    }
}
