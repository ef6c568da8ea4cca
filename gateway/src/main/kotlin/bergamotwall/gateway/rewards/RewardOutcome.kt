package bergamotwall.gateway.rewards

/** Outcome of one try of a reward call. The names of the variants are label values of the metric `reward_calls`. */
internal sealed interface RewardOutcome {
    /** A target has scored the text. */
    data class Scored(val score: String) : RewardOutcome

    /** The call ran, or may have run, without a score; [failedRuns] targets responded that it failed there. */
    data class Failed(val reason: String, val failedRuns: Int) : RewardOutcome

    /** No target ran the call; it may be tried again after [retryAfterMillis]. */
    data class NotRun(val reason: String, val retryAfterMillis: Long) : RewardOutcome
}
