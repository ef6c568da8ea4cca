package bergamotwall.gateway.relays

import bergamotwall.decisions.ownerOf
import bergamotwall.gateway.http.TargetClient
import bergamotwall.gateway.http.TargetExchange
import bergamotwall.gateway.http.TargetRequest
import bergamotwall.runtime.Clock
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import java.util.concurrent.ConcurrentHashMap

/**
 * [TargetClient] that reaches targets through [peers] while this process has no path to them. Everything above it,
 * which counts attempts, charges limits and decides on repetitions, is unaffected: a relayed exchange ends like a
 * direct one.
 *
 * A request is relayed once at most: peers send it directly or not at all. It is sent to another peer only if the one
 * before is known not to have passed it on.
 */
internal class RelayedTargetClient(
    private val direct: TargetClient,
    private val peers: () -> List<RelayPeer>,
    private val clock: Clock,
    private val settings: RelaySettings,
    private val onRelayed: () -> Unit = {},
) : TargetClient by direct {
    private val paths = TargetPaths(clock, settings)
    private val checks = PathChecks(direct, paths, clock, settings)
    private val failedAtMillis = ConcurrentHashMap<Pair<String, String>, Long>()
    private val succeededAtMillis = ConcurrentHashMap<String, Long>()

    /** Number of addresses to which this process has no path. */
    val lostPaths: Int get() = paths.lost.size

    /** Whether this process has no path to most of the addresses that it uses. */
    val cutOff: Boolean get() = paths.mostLost

    /** Starts to check paths in [scope]. */
    fun start(scope: CoroutineScope): Job = checks.start(scope)

    /** Starts to send [request] to [address], over a peer if the path of this process is lost. */
    override fun send(
        address: String,
        request: TargetRequest,
    ): TargetExchange = FailoverExchange(sendDirectly(address, request), RelayAttempts(address, request))

    /** Starts to send [request] to [address] over the path of this process only; null if that is lost. */
    fun sendDirectly(
        address: String,
        request: TargetRequest,
    ): TargetExchange? =
        if (paths.used(address).relays(clock.monotonicMillis())) null else direct(address, request)

    /** Records that no connection to [address] could be established because of [cause]. */
    fun directFailed(
        address: String,
        cause: String,
    ): Unit = paths.lost(address, cause)

    private fun direct(
        address: String,
        request: TargetRequest,
    ): TargetExchange = DirectExchange(address, direct.send(address, request), paths, checks, request.repeatable)

    /** Attempts to send [request] to [address] over peers, one after the other. */
    inner class RelayAttempts(private val address: String, private val request: TargetRequest) {
        private val candidates by lazy(LazyThreadSafetyMode.NONE) { ArrayDeque(choosePeers(address)) }
        private var current: RelayPeer? = null

        /** Sends the request to the next peer; null if there is none left. */
        fun next(): TargetExchange? {
            current?.let { failed(it, address) }
            val peer = candidates.removeFirstOrNull()
            current = peer
            if (peer == null) {
                paths.noRelay(address)
                return null
            }
            onRelayed()
            val headers = request.headers + RelayHeaders.of(address, request)
            val relayed = request.copy(headers = headers, respondedInOrder = true)
            paths.used(peer.address)
            return RelayExchange(direct(peer.address, relayed)) {
                succeededAtMillis[peer.address] = clock.monotonicMillis()
            }
        }

        /** Records that the direct path has failed because of [cause]. */
        fun directFailed(cause: String): Unit = directFailed(address, cause)
    }

    private fun failed(
        peer: RelayPeer,
        address: String,
    ) {
        val nowMillis = clock.monotonicMillis()
        failedAtMillis.values.removeIf { !isRecent(it, nowMillis) }
        failedAtMillis[peer.address to address] = nowMillis
    }

    /** Spreads the addresses over the peers that have paths, so that each peer keeps connections to few targets. */
    private fun choosePeers(address: String): List<RelayPeer> {
        val nowMillis = clock.monotonicMillis()
        val remaining = peers().filterNot { paths.isLost(it.address) }.associateBy { it.id }.toMutableMap()
        val ordered = ArrayList<RelayPeer>()
        while (remaining.isNotEmpty()) {
            val next = ownerOf(address, remaining.keys) ?: break
            remaining.remove(next)?.let { ordered += it }
        }
        return ordered.sortedBy { rank(it, address, nowMillis) }.take(settings.maxPeers)
    }

    /** 0 for a peer that relayed a request lately, 2 for one that could not reach [address] lately, otherwise 1. */
    private fun rank(
        peer: RelayPeer,
        address: String,
        nowMillis: Long,
    ): Int =
        when {
            isRecent(failedAtMillis[peer.address to address], nowMillis) -> 2
            isRecent(succeededAtMillis[peer.address], nowMillis) -> 0
            else -> 1
        }

    private fun isRecent(
        atMillis: Long?,
        nowMillis: Long,
    ): Boolean = atMillis != null && nowMillis - atMillis < settings.memoryMillis
}
