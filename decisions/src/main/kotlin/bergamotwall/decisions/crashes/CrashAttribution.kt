package bergamotwall.decisions.crashes

import bergamotwall.decisions.placement.TargetState
import bergamotwall.model.Fingerprint
import bergamotwall.model.TargetId

/**
 * Attributes interrupted runs to their content until it is known whether the target crashed. An interruption counts as
 * a crash until the target reports that the same process is still running. Not thread-safe.
 */
internal class CrashAttribution(private val suspicion: CrashSuspicion) {
    private class Interruption(val fingerprint: Fingerprint, val bootId: String)

    private val pending = HashMap<TargetId, MutableList<Interruption>>()

    fun interrupted(
        target: TargetState,
        fingerprint: Fingerprint,
        nowMillis: Long,
    ) {
        suspicion.crashed(fingerprint, target.id, nowMillis)
        pending.getOrPut(target.id) { ArrayList() } += Interruption(fingerprint, target.bootId)
    }

    fun reported(
        target: TargetId,
        bootId: String,
    ) {
        pending.remove(target)?.filter { it.bootId == bootId }?.forEach { suspicion.exonerated(it.fingerprint, target) }
    }

    /**
     * Whether [target] may run the suspected [content]: not while an interruption of that content there is unresolved,
     * and not at the same time as another suspect.
     */
    fun allowsSuspect(
        target: TargetState,
        content: Fingerprint,
        nowMillis: Long,
    ): Boolean {
        val interruptedHere = pending[target.id].orEmpty().any { it.fingerprint == content }
        return !interruptedHere && target.running.values.none { it != content && isSuspect(it, nowMillis) }
    }

    private fun isSuspect(
        content: Fingerprint,
        nowMillis: Long,
    ): Boolean = suspicion.verdict(content, nowMillis) == SuspicionVerdict.SUSPECT
}
