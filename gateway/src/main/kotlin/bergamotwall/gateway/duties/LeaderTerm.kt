package bergamotwall.gateway.duties

import bergamotwall.runtime.Clock
import bergamotwall.runtime.Leadership
import org.tinylog.Logger

/** This process's part in the leadership of a task. */
internal enum class TermPhase {
    /** It is not the leader, and does not try to be. */
    NOT_COMPETING,

    /** It tried to become the leader, or lost the leadership. */
    NOT_LEADING,

    /** It is the leader, but orders of the previous one may be under way, or it is about to give up. */
    WAITING,

    /** It is the leader and may send orders, each only while [Leadership.mayAct] is true. */
    ACTING,
}

/**
 * Acquires, keeps and gives up the leadership of a task whose orders go to [receivers] outside the fleet. Not
 * thread-safe.
 *
 * A new leader waits until no order of the previous one can arrive, unless that one resigned or was this process. A
 * leader that reaches no receiver gives up, because another process may reach them.
 */
internal class LeaderTerm(
    private val leadership: Leadership,
    private val clock: Clock,
    private val timing: TermTiming,
    private val receivers: String,
) {
    private var mayActFromMillis: Long? = null
    private var abstainUntilMillis = Long.MIN_VALUE

    /** Orders sent by this process. */
    val orders = SentOrders(clock)

    /** Whether no receiver of the orders is reachable. */
    var cutOff = false

    /**
     * Proceeds with the leadership. [eligible]: this process should try to become the leader; [hasPaths]: it has paths
     * to the receivers.
     */
    suspend fun step(
        eligible: Boolean,
        hasPaths: Boolean,
    ): TermPhase {
        val nowMillis = clock.monotonicMillis()
        val mayAcquire = eligible && hasPaths && nowMillis >= abstainUntilMillis
        if (leadership.holding == null && !mayAcquire) return TermPhase.NOT_COMPETING
        val leaves = leadership.holding != null && (cutOff || !hasPaths)
        if (leaves && orders.settled(timing.pauseMillis)) giveUp(nowMillis) else leadership.step()
        return when {
            leadership.holding == null -> {
                mayActFromMillis = null
                cutOff = false
                TermPhase.NOT_LEADING
            }
            !leaves && mayIssueOrders() -> TermPhase.ACTING
            else -> TermPhase.WAITING
        }
    }

    private suspend fun giveUp(nowMillis: Long) {
        Logger.warn("event=leadership_given_up_without_{}", receivers)
        abstainUntilMillis = nowMillis + timing.abstainMillis
        if (orders.allAnswered(timing.abstainMillis)) leadership.resign() else leadership.release()
    }

    /** Whether orders of the previous leader can't arrive any more. No wait is needed if that was this process. */
    private suspend fun mayIssueOrders(): Boolean {
        val nowMillis = clock.monotonicMillis()
        val waitMillis =
            if (leadership.actedLast || leadership.predecessorResigned) 0 else timing.predecessorWaitMillis
        val from = mayActFromMillis ?: (nowMillis + waitMillis).also { mayActFromMillis = it }
        return nowMillis >= from && leadership.startActing()
    }
}
