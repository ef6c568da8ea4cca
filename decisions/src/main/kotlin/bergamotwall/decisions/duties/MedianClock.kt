package bergamotwall.decisions.duties

/**
 * The median of [clocksMillis], readings of several wall clocks at the same moment; of an even number, the mean of the
 * two in the middle. Requires at least one.
 *
 * Failures: as long as most clocks are right, no clock that is wrong or jumps by seconds moves the result further than
 * the right ones differ among themselves.
 */
public fun medianMillis(clocksMillis: Collection<Long>): Long {
    val sorted = clocksMillis.sorted()
    val low = sorted[(sorted.size - 1) / 2]
    val high = sorted[sorted.size / 2]
    return low + (high - low) / 2
}
