package bergamotwall.decisions

import bergamotwall.model.Finished
import bergamotwall.model.RunOutcome

/** What a dispatcher learns from ended runs. Not thread-safe. */
internal class Experience(
    private val limits: DispatchLimits,
    private val targets: Targets,
    private val suspicion: CrashSuspicion,
    private val placement: Placement,
    private val waits: WaitEstimator,
) {
    fun learn(
        permit: Permit,
        finished: Finished,
        nowMillis: Long,
    ) {
        val target = permit.target
        when (finished.outcome) {
            RunOutcome.WHOLE -> whole(permit, finished)
            RunOutcome.BROKEN -> {
                target.failed(nowMillis, limits)
                placement.broke(permit, nowMillis)
            }
            RunOutcome.NOT_STARTED -> target.failed(nowMillis, limits)
            RunOutcome.CANCELLED -> Unit
        }
        finished.versions.maxOrNull()?.let { target.version = maxOf(target.version, it) }
    }

    private fun whole(
        permit: Permit,
        finished: Finished,
    ) {
        val firstTokenMillis = finished.firstTokenMillis.toDouble()
        suspicion.ranWhole(permit.offer.fingerprint)
        permit.target.observeFirstToken(firstTokenMillis, limits.slowFactor)
        targets.observeFirstToken(firstTokenMillis)
        waits.ran(finished.durationMillis)
    }
}
