package bergamotwall.decisions.membership

/**
 * How long a process that watches the key-value service for others pauses after a change before it polls again, where
 * a process that watches for itself alone would pause for [usualMillis]. [urgent]: a process that it serves, or it
 * itself, must learn of changes at once, as those that run batches or order weights must of changed targets.
 * [lateMillis]: how late the others may learn of them.
 *
 * Load pattern: changes come in series, when a fleet starts or targets load weights one after another, and each
 * follower polls once per pause. Its readers add their own short pause and two hops.
 */
public fun followerPauseMillis(
    usualMillis: Long,
    urgent: Boolean,
    lateMillis: Long,
): Long {
    val longestMillis = lateMillis.coerceIn(SHORTEST_PAUSE_MILLIS, LONGEST_PAUSE_MILLIS)
    return minOf(usualMillis, longestMillis, if (urgent) URGENT_PAUSE_MILLIS else Long.MAX_VALUE)
}

/** With this pause, two followers a data centre make fewer calls in a series of changes than all processes did. */
private const val SHORTEST_PAUSE_MILLIS = 40L

/** Leaves 10 ms of 100 ms for the pause of a reader and the hops. */
private const val URGENT_PAUSE_MILLIS = 90L

/** A follower's proof must not become too old for its readers during the pause and the poll after it. */
private const val LONGEST_PAUSE_MILLIS = 300L
