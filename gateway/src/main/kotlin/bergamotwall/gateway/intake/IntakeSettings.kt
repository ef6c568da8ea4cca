package bergamotwall.gateway.intake

import bergamotwall.model.DocumentProblem
import kotlinx.serialization.Serializable

/**
 * What clients may take of a process. No client within the limits that operators state reaches a default: heads of
 * 16,384 bytes within 3 s, bodies of 33,554,432 bytes with pauses of at most 15 s, connections idle for up to 12 s.
 */
@Serializable
public data class IntakeSettings(
    /** Share of the heap that all requests and responses in progress may hold together. */
    val accountPercent: Int = 50,
    /** Connections that all servers of the process keep open together; fewer if [maxFds] requires it. */
    val maxConnections: Int = 1_500,
    /** File descriptors of the process; at most half of them are used for clients. Null if not limited. */
    val maxFds: Int? = null,
    val maxHeadBytes: Int = 65_536,
    /** Time from the first byte of a head to its end. */
    val headTimeoutMillis: Long = 10_000,
    /** Time allowed for a body before its first byte; each byte received extends it, see [minBodyBytesPerSecond]. */
    val bodyTimeoutMillis: Long = 20_000,
    /** A body that is slower than this for longer than [bodyTimeoutMillis] is not waited for. */
    val minBodyBytesPerSecond: Int = 500,
    /** A connection whose client has read nothing of a response for this long is closed. */
    val unreadTimeoutMillis: Long = 60_000,
    /** A connection without any progress for this long may be closed if memory is short. */
    val stalledMillis: Long = 1_000,
    /** How long a request waits for memory, unread, before it is refused as not run. */
    val memoryWaitMillis: Long = 4_000,
) {
    /** Connections that all servers of the process keep open together. */
    internal val connections: Int
        get() = minOf(maxConnections, maxFds?.let { it / FDS_PER_CONNECTION } ?: maxConnections)

    /** Connections that [server] keeps open. */
    internal fun maxOpen(server: IntakeServer): Int = connections * server.connectionPercent / PERCENT

    /** Connections that [server] accepts at once: as many as stay open, and some among which one is chosen to close. */
    public fun maxAccepted(server: IntakeServer): Int = maxOpen(server) + maxOf(1, maxOpen(server) / ACCEPTED_SPARE)

    private companion object {
        private const val PERCENT = 100
        private const val ACCEPTED_SPARE = 4

        /** The other half is for targets, peers, the key-value service and files. */
        private const val FDS_PER_CONNECTION = 2
    }
}

/** Validates what the types of [settings] can't express. Returns the problems found; empty if valid. */
internal fun validateIntakeSettings(
    settings: IntakeSettings,
    source: String,
): List<DocumentProblem> {
    val problem = { field: String, message: String, fix: String ->
        DocumentProblem(source, 1, "intake.$field", message, fix)
    }
    return listOfNotNull(
        problem("accountPercent", "is not 10 to 80", "use 50").takeIf { settings.accountPercent !in ACCOUNT_PERCENT },
        problem("maxConnections", "leaves servers without connections", "use 20 or more, and twice that as maxFds")
            .takeIf { settings.connections < MIN_CONNECTIONS },
        problem("maxHeadBytes", "is not positive", "use 65536").takeIf { settings.maxHeadBytes < 1 },
        problem("minBodyBytesPerSecond", "is not positive", "use 500").takeIf { settings.minBodyBytesPerSecond < 1 },
    )
}

/** The rest of the heap is for what the process holds itself, and for copies that are made in passing. */
private val ACCOUNT_PERCENT = MIN_ACCOUNT_PERCENT..MAX_ACCOUNT_PERCENT
private const val MIN_ACCOUNT_PERCENT = 10
private const val MAX_ACCOUNT_PERCENT = 80
private const val MIN_CONNECTIONS = 20
