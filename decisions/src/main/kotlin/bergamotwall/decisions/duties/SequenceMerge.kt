package bergamotwall.decisions.duties

/** The part of a push that its receiver does not have yet: all but the first [known] items. It expects [next] next. */
public data class SequenceMerge(val known: Int, val next: Long)

/**
 * How a receiver that expects the number [expected] merges a push of [count] items numbered from [first]; null if the
 * push leaves out items that the sender still has, of which [oldest] is the first. The sender then pushes from
 * [expected] on.
 *
 * Failures: a lost response makes the sender repeat items, a new receiver starts at 0, and a sender that was cut off
 * for long no longer has all items.
 */
public fun mergeSequence(
    expected: Long,
    first: Long,
    count: Int,
    oldest: Long,
): SequenceMerge? {
    if (first > maxOf(expected, oldest)) return null
    val known = (expected - first).coerceIn(0, count.toLong())
    return SequenceMerge(known.toInt(), maxOf(expected, first + count))
}
