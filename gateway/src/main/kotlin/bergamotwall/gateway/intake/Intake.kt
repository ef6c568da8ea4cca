package bergamotwall.gateway.intake

import bergamotwall.decisions.admission.IntakeBudget
import bergamotwall.drivers.http.MemoryAccount
import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.labelledGauge
import bergamotwall.runtime.Clock
import io.netty.channel.Channel
import io.netty.channel.ChannelPipeline
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.delay
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/**
 * What a process takes from clients that nobody controls: memory for their requests and responses, and connections.
 * Reading stops before anyone is refused; then the connections that hold most without progress are closed.
 */
public class Intake(
    /** Limits for clients. */
    public val settings: IntakeSettings,
    private val maxBodyBytes: Long,
    private val clock: Clock,
    /** Server of the port that a client has connected to. */
    private val servers: Map<Int, IntakeServer>,
) {
    /** Counts what all requests and responses in progress hold. */
    public val account: MemoryAccount =
        MemoryAccount(Runtime.getRuntime().maxMemory() / PERCENT * settings.accountPercent)
    internal val memory = IntakeMemory(account, IntakeBudget(account.limitBytes))
    private val connections = ConcurrentHashMap.newKeySet<ClientConnection>()
    private val waiting = ConcurrentHashMap.newKeySet<ClientConnection>()
    internal val refusals: Refusals = Refusals(clock, account)

    /** Adds the checks of a new connection to its [pipeline]. */
    public fun install(pipeline: ChannelPipeline) {
        pipeline.addFirst(ClientConnection(this))
    }

    /** Checks all connections on an event loop of [group] from now on, and counts them in [metrics]. */
    public fun start(
        group: EventLoopGroup,
        metrics: GatewayMetrics,
    ) {
        refusals.register(metrics)
        metrics.gauge("intake_account_bytes", "Memory held for requests and responses.") { account.heldBytes }
        metrics.gauge("intake_account_limit_bytes", "Memory that they may hold.") { account.limitBytes }
        metrics.gauge("intake_waiting", "Requests that wait for memory.") { waiting.size }
        metrics.labelledGauge("intake_held_bytes", "Memory held for clients.", "class") {
            IntakeClass.entries.associate { it.name.lowercase() to memory.heldBytes(it) }
        }
        metrics.labelledGauge("intake_connections", "Connections of clients.", "server") {
            IntakeServer.entries.associate { server ->
                server.name.lowercase() to connections.count { it.server == server }.toLong()
            }
        }
        val loop: EventLoop = group.next()
        loop.scheduleWithFixedDelay(::check, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS)
    }

    /**
     * The largest batch that can be decoded at once: with its copies it takes the whole account. Of a larger one, the
     * bodies of items are not decoded.
     */
    public val maxBatchBytes: Long get() = account.limitBytes / (1 + DECODED_COPIES)

    /** The most bytes, without the bodies of items, of a batch that can't be decoded at once. */
    public val maxBatchRestBytes: Long get() = maxBatchBytes / REST_PARTS

    /** Runs [block] with memory to decode a batch of [bodyBytes]; null if there is none within some seconds. */
    public suspend fun <T : Any> decoding(
        bodyBytes: Int,
        block: suspend () -> T,
    ): T? {
        val remainingBytes = memory.budget.maxRequestBytes - bodyBytes
        val bytes =
            if (bodyBytes <= maxBatchBytes) {
                minOf(bodyBytes * DECODED_COPIES, remainingBytes)
            } else {
                minOf(maxBatchRestBytes * REST_COPIES, maxOf(0, remainingBytes - HEAD_BYTES))
            }
        val deadlineMillis = nowMillis + settings.memoryWaitMillis
        while (!memory.hold(IntakeClass.BATCHES, bytes, ownBytes = bodyBytes.toLong(), privileged = false)) {
            if (nowMillis > deadlineMillis) return null
            delay(CHECK_MILLIS)
        }
        try {
            return block()
        } finally {
            memory.add(IntakeClass.BATCHES, -bytes)
            released()
        }
    }

    internal val nowMillis: Long get() = clock.monotonicMillis()

    internal fun serverOf(channel: Channel): IntakeServer =
        servers[(channel.localAddress() as InetSocketAddress).port] ?: IntakeServer.CALLERS

    internal fun limitsOf(connection: ClientConnection): RequestGate.Limits =
        RequestGate.Limits(
            maxHeadBytes = settings.maxHeadBytes,
            maxBodyBytes =
            if (connection.server == IntakeServer.METRICS) {
                MAX_METRICS_BODY_BYTES
            } else {
                minOf(maxBodyBytes, memory.budget.maxRequestBytes)
            },
            privileged = connection.server != IntakeServer.CALLERS,
            mustQueue = { waiting.any { it !== connection && it.startedAtMillis < connection.startedAtMillis } },
        )

    internal fun opened(connection: ClientConnection) {
        connections += connection
        val ofServer = connections.filter { it.server == connection.server }
        if (ofServer.size <= settings.maxOpen(connection.server)) return
        val idle = ofServer.filter { it !== connection && it.idleSinceMillis != null }
        val closed = idle.minWithOrNull(compareBy({ it.served }, { it.idleSinceMillis })) ?: connection
        connections -= closed
        closed.evict(Refusal.CONNECTIONS)
    }

    internal fun closed(connection: ClientConnection) {
        connections -= connection
        waiting -= connection
    }

    internal fun waits(
        connection: ClientConnection,
        waits: Boolean,
    ) {
        if (waits) waiting += connection else waiting -= connection
    }

    internal fun released() {
        waiting.sortedBy { it.startedAtMillis }.forEach { it.check() }
    }

    private fun check() {
        connections.forEach { if (it.idleSinceMillis == null) it.check() }
        val longestMillis = waiting.maxOfOrNull { it.waitingMillis ?: 0 } ?: return
        repeat(MAX_CLOSED) {
            val overdue = longestMillis > settings.stalledMillis
            val closed = memory.budget.closedFirst(connections, settings.stalledMillis, overdue) ?: return
            connections -= closed
            closed.evict(Refusal.MEMORY)
        }
    }

    private companion object {
        private const val PERCENT = 100
        private const val CHECK_MILLIS = 200L

        /** Connections closed at once while memory is short; the memory that this frees is seen at the next check. */
        private const val MAX_CLOSED = 2

        /** The text of a batch, its items, and the documents in which they are stored. */
        private const val DECODED_COPIES = 4L

        /** The account has room for that with its copies beside the body of a batch of 32 MiB and other requests. */
        private const val REST_PARTS = 4

        /** Its text and its items. The whole body is outside the heap. */
        private const val REST_COPIES = 2L

        /** Room for the heads of the submission and of other requests. */
        private const val HEAD_BYTES = 1_048_576L
        private const val MAX_METRICS_BODY_BYTES = 65_536L
    }
}
