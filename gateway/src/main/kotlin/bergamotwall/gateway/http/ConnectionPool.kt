package bergamotwall.gateway.http

import java.util.concurrent.ConcurrentLinkedDeque

/** Idle connections to one address. Thread-safe. */
internal class ConnectionPool {
    private val idle = ConcurrentLinkedDeque<TargetConnection>()

    @Volatile
    private var closed = false

    /**
     * Removes and returns the connection that became idle last of those that may carry [request]; null if there is
     * none. Connections that can't be reused are closed, and so is the one that became idle first if many are idle and
     * none fits: a caller that sends the same id again and again would open one with each request.
     */
    fun take(request: TargetRequest): TargetConnection? {
        val fitting = idle.descendingIterator().asSequence().firstOrNull { fits(it, request) }
        if (fitting == null && idle.size >= MAX_UNFIT) idle.pollFirst()?.close()
        return fitting
    }

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

    private companion object {
        /** Idle connections kept while none of them may carry the request; a target serves several hundred of all. */
        private const val MAX_UNFIT = 8
    }
}
