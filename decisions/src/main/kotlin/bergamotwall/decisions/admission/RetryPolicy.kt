package bergamotwall.decisions.admission

import bergamotwall.model.ProblemKind
import bergamotwall.model.RunOutcome
import bergamotwall.model.RunState
import kotlin.random.Random

private const val FIRST_BACKOFF_MILLIS = 20L
private const val MAX_BACKOFF_MILLIS = 2_000L
private const val MAX_SHIFT = 8
private const val MAX_ATTEMPTS = 6

/** A failed attempt and its circumstances. */
public data class FailedAttempt(
    val attempt: Int,
    val outcome: RunOutcome,
    val idempotent: Boolean,
    val budgetLeft: Boolean,
    val nowMillis: Long,
    val deadlineMillis: Long,
)

/** What to do after a failed attempt. */
public sealed interface RetryDecision {
    /** Try again after [delayMillis]. */
    public data class Retry(val delayMillis: Long) : RetryDecision

    /** Respond to the caller with a final result at once. */
    public data class GiveUp(val kind: ProblemKind, val runState: RunState, val rule: String) : RetryDecision
}

/** Decides whether [failed] is retried: only if it did not run or is idempotent, and within budget and deadline. */
public fun decideRetry(
    failed: FailedAttempt,
    random: Random,
): RetryDecision {
    val runState = runStateOf(failed.outcome)
    val delayMillis = backoffMillis(failed.attempt, random)
    val rule =
        when {
            runState != RunState.NOT_RUN && !failed.idempotent -> "may have run and is not idempotent"
            failed.attempt >= MAX_ATTEMPTS -> "attempts used up"
            !failed.budgetLeft -> "retry budget used up"
            failed.nowMillis + delayMillis >= failed.deadlineMillis -> "deadline too near"
            else -> return RetryDecision.Retry(delayMillis)
        }
    val kind = if (runState == RunState.NOT_RUN) ProblemKind.UNAVAILABLE else ProblemKind.TARGET_FAILED
    return RetryDecision.GiveUp(kind, runState, rule)
}

/** Whether a request whose attempt ended with [outcome] ran. */
public fun runStateOf(outcome: RunOutcome): RunState =
    when (outcome) {
        RunOutcome.NOT_STARTED -> RunState.NOT_RUN
        RunOutcome.BROKEN -> RunState.UNKNOWN
        RunOutcome.CANCELLED, RunOutcome.WHOLE -> RunState.RAN
    }

/** Exponential backoff with full jitter (Brooker, 2015) before attempt number [attempt] + 1. */
public fun backoffMillis(
    attempt: Int,
    random: Random,
): Long {
    val ceiling = minOf(MAX_BACKOFF_MILLIS, FIRST_BACKOFF_MILLIS shl minOf(attempt, MAX_SHIFT))
    return random.nextLong(1, ceiling + 1)
}
