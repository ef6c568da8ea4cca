package bergamotwall.decisions

import bergamotwall.model.Fingerprint
import bergamotwall.model.RequestId
import bergamotwall.model.TargetId

/**
 * Breaks that wait for proof whether the target crashed. A break counts as a crash until the target reports that the
 * same process still lives. Not thread-safe.
 */
internal class Blame(private val suspicion: CrashSuspicion) {
    private class Break(val fingerprint: Fingerprint, val bootId: String)

    private val pending = HashMap<TargetId, MutableList<Break>>()

    fun broke(
        target: TargetState,
        fingerprints: Collection<Fingerprint>,
        nowMillis: Long,
    ) {
        val breaks = pending.getOrPut(target.id) { ArrayList() }
        fingerprints.forEach {
            suspicion.crashed(it, target.id, nowMillis)
            breaks += Break(it, target.bootId)
        }
    }

    fun reported(
        target: TargetId,
        bootId: String,
    ) {
        pending.remove(target)?.filter { it.bootId == bootId }?.forEach { suspicion.exonerated(it.fingerprint, target) }
    }

    /** Whether [target] may run [request] with [fingerprint], by what is suspected of it and of what runs there. */
    fun allows(
        target: TargetState,
        request: RequestId,
        fingerprint: Fingerprint,
        targets: Targets,
        nowMillis: Long,
    ): Boolean {
        val standing = suspicion.standing(fingerprint, nowMillis)
        if (standing == Standing.PROVEN) return true
        if (standing == Standing.QUARANTINED || crashedOn(target, fingerprint, nowMillis)) return false
        val busy = targets.all().filter { state -> state.running.any { it.key != request && it.value == fingerprint } }
        val crashed = suspicion.crashedTargets(fingerprint, nowMillis)
        val spread = target in busy || busy.size + crashed < CrashSuspicion.MAX_TARGETS
        return spread && (standing != Standing.SUSPECT || noOtherSuspect(target, fingerprint, nowMillis))
    }

    private fun crashedOn(
        target: TargetState,
        fingerprint: Fingerprint,
        nowMillis: Long,
    ): Boolean =
        suspicion.standing(fingerprint, nowMillis) == Standing.SUSPECT &&
            pending[target.id].orEmpty().any { it.fingerprint == fingerprint }

    private fun noOtherSuspect(
        target: TargetState,
        fingerprint: Fingerprint,
        nowMillis: Long,
    ): Boolean =
        target.running.values.none { it != fingerprint && suspicion.standing(it, nowMillis) == Standing.SUSPECT }
}
