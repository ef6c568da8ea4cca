package bergamotwall.gateway.usage

import bergamotwall.decisions.duties.MemberProgress
import bergamotwall.decisions.duties.mergeSequence
import bergamotwall.model.UsageStarts
import bergamotwall.runtime.Clock

/**
 * The starts at the leader itself, which keeps them at one other process: without that, all of them that are not
 * reported yet would be lost with the leader. Not thread-safe.
 */
internal class MirroredStarts(private val clock: Clock) {
    private class Mirrored(workspace: String, atMillis: Long, val receivedAtMillis: Long) :
        TimedStart(workspace, atMillis)

    private val starts = ArrayDeque<Mirrored>()
    private var nextSequence = 0L
    private var last: UsageStarts? = null
    private var receivedAtMillis = 0L

    /** Keeps the starts in [message]; returns the number of the start that the leader should send next. */
    fun keep(message: UsageStarts): Long {
        val known = last
        if (known == null || known.node != message.node || known.incarnation != message.incarnation) clear()
        val count = message.agesMillis.size
        val merge = mergeSequence(nextSequence, message.firstSequence, count, message.oldestSequence)
        if (merge != null) {
            receivedAtMillis = clock.monotonicMillis()
            last = message
            if (message.firstSequence > nextSequence) starts.clear()
            for (index in merge.known until count) {
                val workspace = message.workspaces[message.workspaceIndexes[index]]
                starts += Mirrored(workspace, message.sentAtMillis - message.agesMillis[index], receivedAtMillis)
            }
            nextSequence = merge.next
        }
        return nextSequence
    }

    /** The message that tells a new leader what is kept, as if the former one sent it now; null if nothing is. */
    fun push(): UsageStarts? {
        val message = last ?: return null
        val nowMillis = clock.monotonicMillis()
        while (starts.firstOrNull()?.let { it.receivedAtMillis < nowMillis - KEPT_MILLIS } == true) starts.removeFirst()
        val heldMillis = nowMillis - receivedAtMillis
        val senderMillis = message.sentAtMillis + heldMillis
        val packed = PackedStarts(starts, senderMillis)
        return message.copy(
            firstSequence = nextSequence - starts.size,
            workspaces = packed.workspaces,
            workspaceIndexes = packed.indexes,
            agesMillis = packed.agesMillis,
            oldestSequence = nextSequence - starts.size,
            nextSequence = nextSequence,
            sentAtMillis = senderMillis,
            wallMillis = message.wallMillis + heldMillis,
            pendingAgeMillis = message.pendingAgeMillis + heldMillis,
            keptMillis = minOf(KEPT_MILLIS, message.keptMillis + heldMillis),
            relayed = true,
            mirrored = false,
        )
    }

    /** Forgets the leader. */
    fun clear() {
        starts.clear()
        nextSequence = 0
        last = null
    }

    private companion object {
        private const val KEPT_MILLIS = MemberProgress.ACTIVE_MILLIS
    }
}
