package bergamotwall.decisions.crashes

import bergamotwall.decisions.lruSet
import bergamotwall.model.CrashRecord
import bergamotwall.model.Fingerprint
import bergamotwall.model.TargetId

/** How far the content of a request is suspected of crashing targets. */
public enum class SuspicionVerdict {
    /** Completed before: runs on any number of targets. */
    PROVEN,

    /** Neither completed nor crashed a target yet: runs on a bounded number of targets at once. */
    UNPROVEN,

    /** Was running on a target that crashed: never shares a target with another suspect. */
    SUSPECT,

    /** Crashed the maximum number of targets: refused. */
    QUARANTINED,
}

/**
 * Attributes target crashes to the content that was running on the target. Not thread-safe.
 *
 * Suspects never share a target, so a second crash has a single suspect and is not attributed to content that merely
 * ran beside it in the first. Content that has never completed runs on at most [MAX_TARGETS] targets, including those
 * that it crashed, so that it cannot crash more.
 */
public class CrashSuspicion(private val retentionMillis: Long = RETENTION_MILLIS) {
    private class Evidence(val targets: MutableSet<TargetId>, var expiresAtMillis: Long)

    private val crashes = HashMap<Fingerprint, Evidence>()
    private val proven = lruSet<Fingerprint>(MAX_PROVEN)

    /** Verdict on [fingerprint] at [nowMillis]. */
    public fun verdict(
        fingerprint: Fingerprint,
        nowMillis: Long,
    ): SuspicionVerdict {
        val count = crashedTargets(fingerprint, nowMillis)
        return when {
            count >= MAX_TARGETS -> SuspicionVerdict.QUARANTINED
            count > 0 -> SuspicionVerdict.SUSPECT
            fingerprint in proven -> SuspicionVerdict.PROVEN
            else -> SuspicionVerdict.UNPROVEN
        }
    }

    /** Number of targets that crashed while running [fingerprint]. */
    public fun crashedTargets(
        fingerprint: Fingerprint,
        nowMillis: Long,
    ): Int = crashes[fingerprint]?.takeIf { it.expiresAtMillis > nowMillis }?.targets?.size ?: 0

    /** Records that [target] presumably crashed while running [fingerprint]. */
    public fun crashed(
        fingerprint: Fingerprint,
        target: TargetId,
        nowMillis: Long,
    ) {
        val evidence = crashes.getOrPut(fingerprint) { Evidence(HashSet(), 0) }
        if (evidence.expiresAtMillis <= nowMillis) evidence.targets.clear()
        evidence.targets += target
        evidence.expiresAtMillis = nowMillis + retentionMillis
        proven.remove(fingerprint)
    }

    /** Withdraws the evidence of [target] against [fingerprint]: the target had not crashed. */
    public fun exonerated(
        fingerprint: Fingerprint,
        target: TargetId,
    ) {
        val evidence = crashes[fingerprint] ?: return
        evidence.targets -= target
        if (evidence.targets.isEmpty()) crashes.remove(fingerprint)
    }

    /** Records that a run of [fingerprint] completed, which clears it of suspicion. */
    public fun completed(fingerprint: Fingerprint) {
        crashes.remove(fingerprint)
        proven.add(fingerprint)
    }

    /** Crash evidence for other nodes, without records that have expired at [nowMillis]. */
    public fun records(nowMillis: Long): List<CrashRecord> {
        crashes.values.removeIf { it.expiresAtMillis <= nowMillis }
        return crashes.map { (fingerprint, evidence) ->
            CrashRecord(fingerprint, evidence.targets.toSet(), evidence.expiresAtMillis)
        }
    }

    /** Adds evidence [received] from other nodes. Its expiry times must be on the same clock as [nowMillis]. */
    public fun merge(
        received: List<CrashRecord>,
        nowMillis: Long,
    ) {
        received.filter { it.expiresAtMillis > nowMillis && it.fingerprint !in proven }.forEach { record ->
            val evidence = crashes.getOrPut(record.fingerprint) { Evidence(HashSet(), record.expiresAtMillis) }
            evidence.targets += record.targets
            evidence.expiresAtMillis = maxOf(evidence.expiresAtMillis, record.expiresAtMillis)
        }
    }

    /** Limits of the policy. */
    public companion object {
        /** Maximum number of targets in the fleet that one content may crash. */
        public const val MAX_TARGETS: Int = 2
        private const val RETENTION_MILLIS = 600_000L
        private const val MAX_PROVEN = 65_536
    }
}
