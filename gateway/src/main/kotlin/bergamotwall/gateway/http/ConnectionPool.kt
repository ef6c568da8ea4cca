package bergamotwall.gateway.http

import java.util.concurrent.ConcurrentLinkedDeque

/** Idle connections to one address. Thread-safe. */
internal class ConnectionPool {
    private val idle = ConcurrentLinkedDeque<TargetConnection>()

    @Volatile
    private var closed = false

    /** Removes and returns the connection that became idle last and can be reused; null if there is none. */
    fun take(): TargetConnection? {
        var connection = idle.pollLast()
        while (connection != null && !connection.reusable) {
            connection.close()
            connection = idle.pollLast()
        }
        return connection
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
