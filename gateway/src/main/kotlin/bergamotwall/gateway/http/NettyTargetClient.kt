package bergamotwall.gateway.http

import bergamotwall.drivers.http.MemoryAccount
import bergamotwall.drivers.http.SharedBuffer
import bergamotwall.model.NetworkAddress
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpRequestEncoder
import kotlinx.coroutines.CompletableDeferred
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/**
 * Creates a client on the event loops of [group], whose connections are of [channelType]. What it holds of responses is
 * part of [account].
 *
 * It uses Netty's HTTP codec directly, because the rules for targets depend on details that a pooling HTTP client
 * hides: late responses to earlier requests, bytes after a complete response, responses that end with their connection,
 * and whether any byte of a request was written.
 */
public fun TargetClient(
    group: EventLoopGroup,
    channelType: Class<out Channel>,
    limits: TargetClientLimits = TargetClientLimits(),
    account: MemoryAccount = MemoryAccount(),
): TargetClient = NettyTargetClient(group, channelType, limits, account)

internal class NettyTargetClient(
    group: EventLoopGroup,
    channelType: Class<out Channel>,
    private val limits: TargetClientLimits,
    account: MemoryAccount,
) : TargetClient {
    private val pools = ConcurrentHashMap<String, ConnectionPool>()
    private val opened = AtomicLong()
    private val unread = SharedBuffer(account = account)
    private val doubts = ResponseDoubts()
    private val bootstrap =
        Bootstrap()
            .group(group)
            .channel(channelType)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeoutMillis)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) {
                        channel.pipeline().addLast(TargetResponseDecoder(), HttpRequestEncoder())
                    }
                },
            )

    override val connectionsOpened: Long get() = opened.get()

    override fun responsesInDoubt(doubt: ResponseDoubt): Long = doubts.countOf(doubt)

    override fun send(
        address: String,
        request: TargetRequest,
    ): TargetExchange {
        val exchange = NettyExchange(request, unread)
        val pooled = pools[address]?.take(request)
        if (pooled == null) connect(address, exchange) else pooled.start(exchange) { connect(address, exchange) }
        return exchange
    }

    override fun close() {
        pools.keys.forEach { retire(it) }
    }

    override fun retire(address: String) {
        pools.remove(address)?.close()
    }

    override suspend fun connect(
        address: String,
        timeoutMillis: Int,
    ): ConnectOutcome {
        val outcome = CompletableDeferred<ConnectOutcome>()
        val once = bootstrap.clone().option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
        connect(once, address) { connection, cause ->
            connection?.let { poolOf(address).add(it) }
            val failure =
                if (cause is ConnectTimeoutException) ConnectOutcome.NO_RESPONSE else ConnectOutcome.REFUSED
            outcome.complete(if (connection == null) failure else ConnectOutcome.ESTABLISHED)
        }
        return outcome.await()
    }

    private fun connect(
        address: String,
        exchange: NettyExchange,
    ): Unit =
        connect(bootstrap, address) { connection, cause ->
            if (connection == null) {
                exchange.unreachable("connect: ${cause?.message}")
            } else {
                connection.start(exchange) {
                    exchange.fail("connection closed", mayHaveRun = false, disconnected = true)
                }
            }
        }

    private fun connect(
        from: Bootstrap,
        address: String,
        onDone: (TargetConnection?, Throwable?) -> Unit,
    ) {
        val parsed = NetworkAddress.parse(address)
        if (parsed == null) return onDone(null, IllegalArgumentException("not an address: $address"))
        opened.incrementAndGet()
        from.connect(parsed.host, parsed.port).addListener { future ->
            if (future.isSuccess) {
                val channel = (future as ChannelFuture).channel()
                onDone(TargetConnection(address, channel, limits, doubts, poolOf(address)::add), null)
            } else {
                onDone(null, future.cause())
            }
        }
    }

    private fun poolOf(address: String): ConnectionPool = pools.computeIfAbsent(address) { ConnectionPool() }
}
