package bergamotwall.decisions.membership

/**
 * How long a watch on the key-value service pauses after a change before it asks for more: a [millisPerMember] for each
 * of the fleet's [members], within the bounds [shortestMillis] and [longestMillis].
 *
 * Load pattern: all processes watch the same keys, and the more processes and targets there are, the more often a key
 * changes, most of all when the fleet starts and when engines load weights one after another. One call a change and
 * process would grow with the square of the fleet. With the pause, the calls of the whole fleet for one prefix stay
 * below one in [millisPerMember], whatever its size, until the bound on how late news may be takes over.
 */
public fun newsPauseMillis(
    members: Int,
    millisPerMember: Long,
    shortestMillis: Long,
    longestMillis: Long,
): Long = (members * millisPerMember).coerceIn(shortestMillis, maxOf(shortestMillis, longestMillis))
