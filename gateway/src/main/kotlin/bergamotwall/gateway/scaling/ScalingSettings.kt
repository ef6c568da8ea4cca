package bergamotwall.gateway.scaling

import bergamotwall.model.DocumentProblem
import bergamotwall.model.isAddress
import kotlinx.serialization.Serializable

/** Settings of ordering targets. */
@Serializable
public data class ScalingSettings(
    /** Address of the platform's API, `host:port`. */
    val address: String,
    /** Tasks that the platform assigns to this process, which orders targets only if [DUTY] is one of them. */
    val assignedDuties: List<String> = emptyList(),
    /** Time to live of the leader's lease: how long the loss of the leader can go unnoticed. */
    val leaseTtlSeconds: Long = 3,
    /** Pause between the calls of two leaders, set by the platform. */
    val pauseMillis: Long = 3_000,
    /** Timeout of a call of the API. */
    val callTimeoutMillis: Long = 1_000,
    /** Pause between two calls: the platform allows 50 in a second for all of its tasks together. */
    val callPauseMillis: Long = 50,
    /** A leader gives up after the API has not responded for this long: another process may reach it. */
    val silenceMillis: Long = 5_000,
    /** How long a process that gave up the leadership does not acquire it again. */
    val abstainMillis: Long = 30_000,
    /** Interval at which the leader decides. */
    val periodMillis: Long = 500,
    /** Interval at which processes report changes of their demand. */
    val reportMillis: Long = 1_000,
    /** How long a need must last before targets are ordered for it. */
    val confirmMillis: Long = 1_000,
    /** How long targets must not have been needed, and nothing ordered, before they are given up. */
    val calmMillis: Long = 90_000,
    /** How long nothing is ordered where the platform had no targets. */
    val unavailableMillis: Long = 10_000,
) {
    /** Whether this process may order targets; otherwise it only reports its demand. */
    public val enabled: Boolean get() = DUTY in assignedDuties

    /** Names of tasks. */
    public companion object {
        /** The platform's name of the task of ordering targets. */
        public const val DUTY: String = "autoscale"
    }
}

/** Validates what the types of [settings] can't express. Returns the problems found; empty if valid. */
internal fun validateScalingSettings(
    settings: ScalingSettings?,
    source: String,
): List<DocumentProblem> {
    val problems = mutableListOf<DocumentProblem>()
    val check = { ok: Boolean, field: String, message: String, fix: String ->
        if (!ok) problems += DocumentProblem(source, 1, "scaling.$field", message, fix)
    }
    if (settings != null) {
        check(isAddress(settings.address), "address", "is not host:port", "use the address of the platform's API")
        check(settings.periodMillis > 0, "periodMillis", "is not positive", "use 500")
        check(settings.reportMillis > 0, "reportMillis", "is not positive", "use 1000")
        check(settings.calmMillis > 0, "calmMillis", "is not positive", "use 90000")
    }
    return problems
}
