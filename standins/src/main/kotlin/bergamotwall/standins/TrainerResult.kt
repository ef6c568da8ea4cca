package bergamotwall.standins

/**
 * One step of a trainer: how long it waited for the batch, and what it received.
 *
 * For each sample, [ageVersions] has how many versions its oldest version is behind the published one, and [ageMillis]
 * for how long that oldest version has no longer been the newest.
 */
public data class TrainerStep(
    val waitedMillis: Long,
    val tokens: Long,
    val ageVersions: List<Long>,
    val ageMillis: List<Long>,
)

/** All steps of a trainer, and the duration of its run. */
public data class TrainerResult(val steps: List<TrainerStep>, val totalMillis: Long)
