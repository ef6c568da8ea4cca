package bergamotwall.gateway.forwarding

import bergamotwall.gateway.http.ConnectOutcome
import bergamotwall.gateway.http.Header
import bergamotwall.gateway.http.ResponsePart
import bergamotwall.gateway.http.TargetClient
import bergamotwall.gateway.http.TargetExchange
import bergamotwall.gateway.http.TargetRequest
import bergamotwall.gateway.http.valueOf
import bergamotwall.gateway.targets.ReportedLoad
import bergamotwall.gateway.targets.ResponseMetadata
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetCall
import bergamotwall.gateway.targets.TargetProtocol
import bergamotwall.runtime.Clock
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlin.math.ceil
import kotlin.math.roundToInt

/**
 * Targets in virtual time. [workMillis] gives the duration of a run at the address, started at the time; [slowdown],
 * how many times longer it takes at a time. A report names the slowdown if [reportSlowdown].
 */
internal class SimulatedTargets(
    private val clock: Clock,
    private val slots: Int,
    private val reportSlowdown: Boolean = false,
    private val slowdown: (String, Long) -> Double = { _, _ -> 1.0 },
    private val workMillis: (String, Long) -> Double,
) : TargetClient {
    private val free = HashMap<String, Semaphore>()
    private val lastTargets = HashMap<String, String>()

    /** Number of requests that were sent, and of further sends of one of them. */
    var requests = 0
        private set
    var extraSends = 0
        private set

    /** The fewest slots that were free at a target when a further send arrived there. */
    var fewestFreeAtExtraSend = Int.MAX_VALUE
        private set

    override fun send(
        address: String,
        request: TargetRequest,
    ): TargetExchange {
        val permits = free.getOrPut(address) { Semaphore(slots) }
        if (lastTargets.put(checkNotNull(request.headers.valueOf("id")), address) == null) {
            requests++
        } else {
            extraSends++
            fewestFreeAtExtraSend = minOf(fewestFreeAtExtraSend, permits.availablePermits)
        }
        val parts = ArrayDeque<ResponsePart?>()
        return object : TargetExchange {
            override suspend fun next(): ResponsePart? {
                if (parts.isEmpty()) {
                    permits.withPermit { run(address) }
                    parts += listOf(ResponsePart.Head(200, listOf(load(address, permits))), ResponsePart.End, null)
                }
                return parts.removeFirst()
            }

            override fun cancel() = Unit
        }
    }

    private suspend fun run(address: String) {
        var leftMillis = workMillis(address, clock.monotonicMillis())
        while (leftMillis > 0) {
            val factor = slowdown(address, clock.monotonicMillis())
            val stepMillis = minOf(ceil(leftMillis * factor).toLong(), STEP_MILLIS)
            delay(stepMillis)
            leftMillis -= stepMillis / factor
        }
    }

    private fun load(
        address: String,
        permits: Semaphore,
    ): Header {
        val percent = (slowdown(address, clock.monotonicMillis()) * 100).roundToInt()
        return Header("load", "${slots - permits.availablePermits}" + if (reportSlowdown) ",$percent" else "")
    }

    override suspend fun connect(
        address: String,
        timeoutMillis: Int,
    ): ConnectOutcome = ConnectOutcome.REFUSED

    override fun retire(address: String) = Unit

    override val connectionsOpened = 0L

    override fun close() = Unit

    /** Reads the reports of simulated targets. */
    inner class Protocol : TargetProtocol {
        override fun request(
            call: TargetCall,
            target: Target,
        ) = TargetRequest(call.method, call.path, listOf(Header("id", call.requestId)), call.body)

        override fun read(head: ResponsePart.Head): ResponseMetadata {
            val numbers = checkNotNull(head.headers.valueOf("load")).split(',').map { it.toInt() }
            return ResponseMetadata(false, "s", ReportedLoad(numbers[0], 0, slots, numbers.getOrNull(1)), null)
        }

        override fun eventVersion(fields: Map<String, String>): Long? = null
    }

    private companion object {
        private const val STEP_MILLIS = 5L
    }
}
