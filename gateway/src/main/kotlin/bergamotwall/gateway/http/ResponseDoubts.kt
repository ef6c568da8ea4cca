package bergamotwall.gateway.http

import org.tinylog.Logger
import java.util.EnumMap
import java.util.concurrent.atomic.AtomicLong

/** Counts and logs responses that may belong to another request. Thread-safe. */
internal class ResponseDoubts {
    private val counts = EnumMap<ResponseDoubt, AtomicLong>(ResponseDoubt::class.java)

    init {
        ResponseDoubt.entries.forEach { counts[it] = AtomicLong() }
    }

    /** Number of occurrences of [doubt] since the start. */
    fun countOf(doubt: ResponseDoubt): Long = counts.getValue(doubt).get()

    /**
     * Records [doubt] about a response of [address] while [request] was waiting, null if none was. The response names
     * the requests [echoed]; [sentRequests] requests have been sent on its connection.
     */
    fun record(
        doubt: ResponseDoubt,
        address: String,
        request: TargetRequest?,
        echoed: List<String>,
        sentRequests: Int,
    ) {
        counts.getValue(doubt).incrementAndGet()
        Logger.warn(
            "event=response_in_doubt reason={} address={} request={} echoed={} sentRequests={}",
            doubt.name.lowercase(),
            address,
            request?.identity?.value.orEmpty(),
            echoed.joinToString(","),
            sentRequests,
        )
    }
}
