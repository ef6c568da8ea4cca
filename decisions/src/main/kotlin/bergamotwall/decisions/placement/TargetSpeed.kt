package bergamotwall.decisions.placement

/**
 * The speed of a target that reports its slowdown: [usualMillis] is the smoothed duration of a request there, and
 * [tokenMillis] that of a token of an item, both at the usual speed; 0 if not known. Immutable.
 *
 * Made for targets with lasting differences in speed (0.7 to 1.7) on VMs whose momentary slowdown (1 to 4) changes
 * many times a second: durations are divided by the slowdown that applied while they ran, so that smoothing keeps the
 * lasting differences only. Without reports of a slowdown, nothing is learned.
 */
public data class TargetSpeed(
    private val reports: SlowdownReports? = null,
    val usualMillis: Double = 0.0,
    val tokenMillis: Double = 0.0,
) {
    /** Whether the target reports its slowdown. */
    val reported: Boolean get() = reports != null

    /** After a report, received at [nowMillis], of a slowdown of [percent], or of none. */
    public fun reported(
        percent: Int?,
        nowMillis: Long,
    ): TargetSpeed = copy(reports = percent?.let { (reports ?: SlowdownReports()).with(it, nowMillis) })

    /** After a request that ran from [startMillis] to [endMillis]. */
    public fun completed(
        startMillis: Long,
        endMillis: Long,
    ): TargetSpeed = copy(usualMillis = smoothed(usualMillis, usual(startMillis, endMillis)))

    /** After a request that was sent at [startMillis] and still ran at [endMillis], when it was cancelled. */
    public fun outlasted(
        startMillis: Long,
        endMillis: Long,
    ): TargetSpeed = if (usual(startMillis, endMillis) > usualMillis) completed(startMillis, endMillis) else this

    /** After a run that generated [tokens] of an item from [startMillis] to [endMillis]. */
    public fun generated(
        tokens: Int,
        startMillis: Long,
        endMillis: Long,
    ): TargetSpeed =
        if (tokens <= 0) this else copy(tokenMillis = smoothed(tokenMillis, usual(startMillis, endMillis) / tokens))

    /** The slowdown as known at [nowMillis]; null if the target reports none. */
    public fun slowdownAt(nowMillis: Long): Slowdown? = reports?.at(nowMillis)

    /** What a run from [startMillis] to [endMillis] would have taken at the usual speed; 0 if not known. */
    private fun usual(
        startMillis: Long,
        endMillis: Long,
    ): Double = reports?.let { (endMillis - startMillis) / it.during(startMillis, endMillis) } ?: 0.0

    private fun smoothed(
        old: Double,
        new: Double,
    ): Double =
        when {
            new <= 0 -> old
            old <= 0 -> new
            else -> old + (new - old) * NEW_WEIGHT
        }

    private companion object {
        /** Half of that for targets without a slowdown, as only lasting differences are left to follow. */
        private const val NEW_WEIGHT = 0.125
    }
}
