package bergamotwall.decisions.membership

/**
 * The time, relative to the sending of a request, at which the receiver of its response is known to have been current;
 * negative if that is before the request.
 *
 * [ageMillis] is the age of the sender's own proof when it responded, 0 for the key-value service. [waitedMillis] is
 * how long the response was held back, as its sender says; it counts only up to [longestWaitMillis], which the request
 * allowed, and to [elapsedMillis], which passed until the response arrived. After a suspension of this VM
 * ([suspendedMillis]) it doesn't count, because the response may have been waiting for the VM. A response may be
 * delayed on the way for any time, so the moment of its arrival proves nothing.
 */
public fun provenAfterMillis(
    ageMillis: Long,
    waitedMillis: Long,
    longestWaitMillis: Long,
    elapsedMillis: Long,
    suspendedMillis: Long,
): Long {
    val certainMillis = minOf(waitedMillis, longestWaitMillis, elapsedMillis).coerceAtLeast(0)
    return (if (suspendedMillis > SUSPENSION_MILLIS) 0 else certainMillis) - ageMillis.coerceAtLeast(0)
}

/** Far more than the clocks drift apart during a poll. */
private const val SUSPENSION_MILLIS = 200L
