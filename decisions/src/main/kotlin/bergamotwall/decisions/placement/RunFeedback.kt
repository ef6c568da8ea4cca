package bergamotwall.decisions.placement

import bergamotwall.decisions.admission.WaitEstimator
import bergamotwall.decisions.crashes.CrashSuspicion
import bergamotwall.model.RunFinished
import bergamotwall.model.RunOutcome

/** Updates latencies, wait estimates, target health and crash suspicion from ended runs. Not thread-safe. */
internal class RunFeedback(
    private val limits: DispatchLimits,
    private val targets: Targets,
    private val suspicion: CrashSuspicion,
    private val placement: Placement,
    private val waits: WaitEstimator,
) {
    fun apply(
        permit: Permit,
        finished: RunFinished,
        nowMillis: Long,
    ) {
        val target = permit.target
        when (finished.outcome) {
            RunOutcome.WHOLE -> completed(permit, finished)
            RunOutcome.BROKEN -> {
                target.failed(nowMillis, limits)
                placement.interrupted(permit, nowMillis)
            }
            RunOutcome.NOT_STARTED -> target.failed(nowMillis, limits)
            RunOutcome.CANCELLED -> Unit
        }
        finished.versions.maxOrNull()?.let { target.version = maxOf(target.version, it) }
    }

    private fun completed(
        permit: Permit,
        finished: RunFinished,
    ) {
        val firstTokenMillis = finished.firstTokenMillis.toDouble()
        suspicion.completed(permit.request.fingerprint)
        permit.target.observeFirstToken(firstTokenMillis, limits.slowFactor)
        targets.observeFirstToken(firstTokenMillis)
        waits.runEnded(finished.durationMillis)
    }
}
