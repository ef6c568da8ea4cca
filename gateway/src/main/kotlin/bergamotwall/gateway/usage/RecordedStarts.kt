package bergamotwall.gateway.usage

import bergamotwall.decisions.duties.MemberProgress
import bergamotwall.gateway.forwarding.CallerRequest
import bergamotwall.gateway.targets.SendPurpose
import bergamotwall.model.NodeId
import bergamotwall.model.UsageStarts
import bergamotwall.runtime.Clock
import java.util.TreeMap
import java.util.concurrent.atomic.AtomicBoolean

/**
 * The starts of this process in the last [KEPT_MILLIS], for the leader and for one that comes after it. Thread-safe.
 * [onStart] is called for each start.
 */
internal class RecordedStarts(
    private val clock: Clock,
    private val workspaceOf: (CallerRequest) -> String?,
    private val onStart: () -> Unit = {},
) : StartRecorder {
    private class Start(workspace: String, atMillis: Long, val recordedAtMillis: Long) : TimedStart(workspace, atMillis)

    private val createdAtMillis = clock.monotonicMillis()
    private val starts = ArrayDeque<Start>()
    private var oldestSequence = 0L

    /** When the requests were sent that may still turn out to have started, and how many at each moment. */
    private val pending = TreeMap<Long, Int>()

    /** Number of the next start. */
    @get:Synchronized
    val nextSequence: Long get() = oldestSequence + starts.size

    /** Whether a leader waits for this process before it decides a window. */
    @get:Synchronized
    val active: Boolean
        get() {
            dropOld()
            return starts.isNotEmpty() || pending.isNotEmpty()
        }

    override fun sent(
        request: CallerRequest,
        sentAtMillis: Long,
        streamed: Boolean,
    ): SentRun {
        val workspace = if (request.purpose == SendPurpose.REQUEST) workspaceOf(request) else null
        if (workspace == null) return SentRun.NONE
        if (!streamed) begin(sentAtMillis)
        val started = AtomicBoolean()
        val ended = AtomicBoolean(streamed)
        return object : SentRun {
            override fun started(atMillis: Long) {
                if (started.compareAndSet(false, true)) started(workspace, atMillis)
            }

            override fun ended() {
                if (ended.compareAndSet(false, true)) end(sentAtMillis)
            }
        }
    }

    /** Records that a run of [workspace] started at [atMillis]. */
    @Synchronized
    fun started(
        workspace: String,
        atMillis: Long,
    ) {
        if (starts.size == MAX_STARTS) drop()
        starts += Start(workspace, atMillis, clock.monotonicMillis())
        onStart()
    }

    /** The message that pushes the starts from [fromSequence] on, at most [MAX_PUSHED] of them. */
    @Synchronized
    fun push(
        node: NodeId,
        incarnation: Long,
        fromSequence: Long,
    ): UsageStarts {
        dropOld()
        val nowMillis = clock.monotonicMillis()
        val first = fromSequence.coerceIn(oldestSequence, nextSequence)
        val pushed = starts.drop((first - oldestSequence).toInt()).take(MAX_PUSHED)
        val packed = PackedStarts(pushed, nowMillis)
        return UsageStarts(
            node = node,
            incarnation = incarnation,
            firstSequence = first,
            workspaces = packed.workspaces,
            workspaceIndexes = packed.indexes,
            agesMillis = packed.agesMillis,
            oldestSequence = oldestSequence,
            nextSequence = nextSequence,
            sentAtMillis = nowMillis,
            wallMillis = clock.wallMillis(),
            pendingAgeMillis = if (pending.isEmpty()) 0 else nowMillis - pending.firstKey(),
            keptMillis = minOf(KEPT_MILLIS, nowMillis - createdAtMillis),
        )
    }

    @Synchronized
    private fun begin(sentAtMillis: Long) {
        pending.merge(sentAtMillis, 1, Int::plus)
    }

    @Synchronized
    private fun end(sentAtMillis: Long) {
        pending.computeIfPresent(sentAtMillis) { _, count -> if (count == 1) null else count - 1 }
    }

    private fun dropOld() {
        val fromMillis = clock.monotonicMillis() - KEPT_MILLIS
        while (starts.firstOrNull()?.let { it.recordedAtMillis < fromMillis } == true) drop()
    }

    private fun drop() {
        starts.removeFirst()
        oldestSequence++
    }

    companion object {
        /** Longer than it takes to decide a window after the loss of a leader. */
        private const val KEPT_MILLIS = MemberProgress.ACTIVE_MILLIS

        /** Several times what the busiest process starts in that time; bounds its memory to about 2 MB. */
        private const val MAX_STARTS = 20_000

        /** Keeps a message below 20 KB. */
        const val MAX_PUSHED = 2_000
    }
}
