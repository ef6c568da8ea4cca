package bergamotwall.decisions

import bergamotwall.model.Fingerprint
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
        fingerprint: Fingerprint,
        nowMillis: Long,
    ) {
        suspicion.crashed(fingerprint, target.id, nowMillis)
        pending.getOrPut(target.id) { ArrayList() } += Break(fingerprint, target.bootId)
    }

    fun reported(
        target: TargetId,
        bootId: String,
    ) {
        pending.remove(target)?.filter { it.bootId == bootId }?.forEach { suspicion.exonerated(it.fingerprint, target) }
    }

    /** Whether [target] may run the suspected [content]: not where it just broke, and not beside another suspect. */
    fun allowsSuspect(
        target: TargetState,
        content: Fingerprint,
        nowMillis: Long,
    ): Boolean {
        val brokeHere = pending[target.id].orEmpty().any { it.fingerprint == content }
        return !brokeHere && target.running.values.none { it != content && isSuspect(it, nowMillis) }
    }

    private fun isSuspect(
        content: Fingerprint,
        nowMillis: Long,
    ): Boolean = suspicion.standing(content, nowMillis) == Standing.SUSPECT
}
