package bergamotwall.standins

/**
 * One step of a trainer: how long it waited, and what it got.
 *
 * [ageVersions] and [ageMillis] say for each sample how many versions behind the published one its oldest version was,
 * and since when that was no longer the newest.
 */
public data class TrainerStep(
    val waitedMillis: Long,
    val tokens: Long,
    val ageVersions: List<Long>,
    val ageMillis: List<Long>,
)

/** Result of a trainer's run. */
public data class TrainerResult(val steps: List<TrainerStep>, val totalMillis: Long)
