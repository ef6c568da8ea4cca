package bergamotwall.gateway.usage

import bergamotwall.decisions.duties.ClockOffset
import bergamotwall.decisions.duties.MemberProgress
import bergamotwall.decisions.duties.mergeSequence
import bergamotwall.model.UsageStarts

/**
 * The starts of one incarnation of a process, as received by the leader. Times are kept on the sender's monotonic clock
 * and converted when they are used, because the offset between the clocks becomes more exact with each message.
 */
internal class CollectedStarts {
    private class Start(val workspace: String, val senderMillis: Long)

    private val offset = ClockOffset()
    private val starts = ArrayDeque<Start>()
    private var nextSequence = 0L
    private var wallMinusMonotonicMillis = 0L
    private var completeUntilSenderMillis: Long? = null
    private var lastStartSenderMillis: Long? = null
    private var coveredFromSenderMillis: Long? = null

    /** When the last message arrived, on the leader's clock. */
    var heardAtMillis = Long.MIN_VALUE
        private set

    /** The fleet's wall clock less the leader's monotonic one, as this sender's clocks tell. */
    val wallOffsetMillis: Long get() = wallMinusMonotonicMillis - offset.millis

    /** Since when all starts of the sender are known, on the leader's clock; null before the first message. */
    val coveredFromMillis: Long? get() = coveredFromSenderMillis?.let { it + offset.millis }

    /**
     * Merges [message], which arrived at [receivedAtMillis]. Returns the number of the start that the sender should
     * push next. [onStart] gets the time of each new start, on the leader's clock.
     */
    fun merge(
        message: UsageStarts,
        receivedAtMillis: Long,
        onStart: (Long) -> Unit,
    ): Long {
        offset.observe(message.sentAtMillis, receivedAtMillis)
        heardAtMillis = receivedAtMillis
        wallMinusMonotonicMillis = message.wallMillis - message.sentAtMillis
        val count = message.agesMillis.size
        val merge = mergeSequence(nextSequence, message.firstSequence, count, message.oldestSequence)
        if (merge != null) {
            for (index in merge.known until count) {
                val atMillis = message.sentAtMillis - message.agesMillis[index]
                starts += Start(message.workspaces[message.workspaceIndexes[index]].intern(), atMillis)
                lastStartSenderMillis = maxOf(lastStartSenderMillis ?: atMillis, atMillis)
                onStart(atMillis + offset.millis)
            }
            nextSequence = merge.next
            val covered = coveredFromSenderMillis ?: (message.sentAtMillis - message.keptMillis)
            coveredFromSenderMillis = covered
            if (nextSequence >= message.nextSequence) {
                val until = message.sentAtMillis - message.pendingAgeMillis
                completeUntilSenderMillis = maxOf(completeUntilSenderMillis ?: until, until)
            }
        }
        return nextSequence
    }

    /** What is known, in the time that is [wallOffsetMillis] ahead of the leader's monotonic clock. */
    fun progress(wallOffsetMillis: Long): MemberProgress {
        val shiftMillis = offset.millis + wallOffsetMillis
        return MemberProgress(
            completeUntilSenderMillis?.let { it + shiftMillis },
            lastStartSenderMillis?.let { it + shiftMillis },
        )
    }

    /** Adds the starts from [fromMillis] until [untilMillis], in the same time as [progress], to [counts]. */
    fun count(
        fromMillis: Long,
        untilMillis: Long,
        wallOffsetMillis: Long,
        counts: MutableMap<String, Int>,
    ) {
        val shiftMillis = offset.millis + wallOffsetMillis
        starts.forEach { start ->
            val atMillis = start.senderMillis + shiftMillis
            if (atMillis in fromMillis until untilMillis) counts.merge(start.workspace, 1, Int::plus)
        }
    }

    /** Drops the starts before [fromMillis], in the same time as [progress]. */
    fun drop(
        fromMillis: Long,
        wallOffsetMillis: Long,
    ) {
        val shiftMillis = offset.millis + wallOffsetMillis
        starts.removeAll { it.senderMillis + shiftMillis < fromMillis }
    }
}
