package bergamotwall.gateway.http

import java.util.concurrent.ConcurrentLinkedDeque

/** Idle connections to one address. Thread-safe. */
internal class ConnectionPool {
    private val idle = ConcurrentLinkedDeque<TargetConnection>()

    @Volatile
    private var closed = false

    /**
     * Removes and returns the connection that became idle last of those that may carry [request]; null if there is
     * none. Connections that can't be reused are closed.
     */
    fun take(request: TargetRequest): TargetConnection? =
        idle.descendingIterator().asSequence().firstOrNull { fits(it, request) }

    /** Whether [connection] may carry [request]; removes it if so, or if it can't be reused. */
    private fun fits(
        connection: TargetConnection,
        request: TargetRequest,
    ): Boolean {
        if (connection.reusable && !mayCarry(connection, request) || !idle.remove(connection)) return false
        // Another request may have used the connection since.
        val fits = connection.reusable && mayCarry(connection, request)
        if (!connection.reusable) connection.close() else if (!fits) add(connection)
        return fits
    }

    /** Whether the response to [request] could be told from those to all others that [connection] has carried. */
    private fun mayCarry(
        connection: TargetConnection,
        request: TargetRequest,
    ): Boolean =
        when {
            request.bodiless -> connection.sent.count == 0
            request.respondedInOrder -> true
            else -> connection.sent.mayAdd(request.identity?.value)
        }

    /** Adds [connection], which has become idle; closes it if the pool is closed. */
    fun add(connection: TargetConnection) {
        idle.addLast(connection)
        if (closed) closeIdle()
    }

    /** Closes the idle connections, and those in use as soon as they become idle. */
    fun close() {
        closed = true
        closeIdle()
    }

    private fun closeIdle() {
        generateSequence { idle.pollLast() }.forEach { it.close() }
    }
}
