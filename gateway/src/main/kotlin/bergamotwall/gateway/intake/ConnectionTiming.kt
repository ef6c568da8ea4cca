package bergamotwall.gateway.intake

/** Times of a connection, and what follows from them. Written on its event loop, read on any thread. */
internal class ConnectionTiming(
    private val settings: IntakeSettings,
    val openedAtMillis: Long,
) {
    /** When the client last sent or read anything. */
    @Volatile
    var progressAtMillis = openedAtMillis
        private set

    /** When the current request began. */
    @Volatile
    var startedAtMillis = openedAtMillis
        private set

    /** Since when the request waits for memory; null if it does not. */
    @Volatile
    var waitingSinceMillis: Long? = null
        private set

    /** Time in which the current request waited for memory, which is not the client's. */
    private var waitedMillis = 0L
    private var bodyStartedAtMillis: Long? = null
    private var idle = true

    fun progressed(nowMillis: Long) {
        progressAtMillis = nowMillis
    }

    /** Records the state of [gate]; [nowIdle] if the connection carries no request. */
    fun update(
        gate: RequestGate,
        nowIdle: Boolean,
        nowMillis: Long,
    ) {
        if (idle && !nowIdle) {
            startedAtMillis = nowMillis
            waitedMillis = 0
        }
        idle = nowIdle
        val since = waitingSinceMillis
        if (gate.waiting && since == null) waitingSinceMillis = nowMillis
        if (!gate.waiting && since != null) {
            waitingSinceMillis = null
            waitedMillis += nowMillis - since
            progressAtMillis = nowMillis
        }
        if (gate.phase != RequestGate.Phase.BODY) bodyStartedAtMillis = null
        if (gate.phase == RequestGate.Phase.BODY && bodyStartedAtMillis == null) {
            bodyStartedAtMillis = nowMillis
            waitedMillis = 0
        }
    }

    /** Why the connection has to be refused now, if it has to. */
    fun refusal(
        gate: RequestGate,
        responses: ResponseTracker,
        nowMillis: Long,
    ): Refusal? {
        val waiting = waitingSinceMillis
        val unread = responses.unreadBytes > 0 && nowMillis - progressAtMillis > settings.unreadTimeoutMillis
        return when {
            waiting != null -> Refusal.MEMORY.takeIf { nowMillis - waiting > settings.memoryWaitMillis }
            unread -> Refusal.UNREAD
            gate.phase == RequestGate.Phase.HEAD && !idle ->
                Refusal.HEAD_TOO_SLOW.takeIf { nowMillis - startedAtMillis - waitedMillis > settings.headTimeoutMillis }
            gate.phase == RequestGate.Phase.BODY ->
                Refusal.BODY_TOO_SLOW.takeIf { nowMillis - (bodyStartedAtMillis ?: nowMillis) > allowedMillis(gate) }
            else -> null
        }
    }

    private fun allowedMillis(gate: RequestGate): Long =
        settings.bodyTimeoutMillis + waitedMillis +
            gate.contentBytes * MILLIS_PER_SECOND / settings.minBodyBytesPerSecond

    private companion object {
        private const val MILLIS_PER_SECOND = 1_000L
    }
}
