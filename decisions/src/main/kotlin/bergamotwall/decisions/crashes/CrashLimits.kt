package bergamotwall.decisions.crashes

import kotlinx.serialization.Serializable

/** Limits of [CrashQuarantine]. */
@Serializable
public data class CrashLimits(
    /**
     * How long an interruption counts as a crash of a target that is still registered. Must be longer than a
     * registration outlives its target.
     */
    val presumedMillis: Long = 10_000,
    /**
     * How long content is refused after its second crash. It may have run beside other content that caused the crashes,
     * so it may run once more.
     */
    val secondCrashRefusalMillis: Long = 10_000,
    /** How long content is refused after its third crash, and how long crashes are remembered. */
    val retentionMillis: Long = 600_000,
)
