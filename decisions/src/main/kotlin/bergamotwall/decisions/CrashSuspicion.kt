package bergamotwall.decisions

import bergamotwall.model.CrashRecord
import bergamotwall.model.Fingerprint
import bergamotwall.model.TargetId

/** Standing of a request's content. */
public enum class Standing {
    /** Ran whole before: no bound. */
    PROVEN,

    /** Nothing is known: runs on a bounded number of targets at once. */
    UNPROVEN,

    /** Was in flight on one target that crashed: kept apart from others of the same standing. */
    SUSPECT,

    /** Crashed as many targets as are allowed: refused. */
    QUARANTINED,
}

/**
 * Who is to blame for crashed targets, by content. Not thread-safe.
 *
 * Suspects never share a target, so a second crash has one suspect only and blames no bystander of the first. Content
 * that never ran whole runs on at most [MAX_TARGETS] targets, crashed ones counted, so that it takes down no more.
 */
public class CrashSuspicion(private val retentionMillis: Long = RETENTION_MILLIS) {
    private class Evidence(val targets: MutableSet<TargetId>, var expiresAtMillis: Long)

    private val crashes = HashMap<Fingerprint, Evidence>()
    private val proven = lruSet<Fingerprint>(PROVEN_KEPT)

    /** Standing of [fingerprint] at [nowMillis]. */
    public fun standing(
        fingerprint: Fingerprint,
        nowMillis: Long,
    ): Standing {
        val count = crashedTargets(fingerprint, nowMillis)
        return when {
            count >= MAX_TARGETS -> Standing.QUARANTINED
            count > 0 -> Standing.SUSPECT
            fingerprint in proven -> Standing.PROVEN
            else -> Standing.UNPROVEN
        }
    }

    /** Number of targets that crashed while running [fingerprint]. */
    public fun crashedTargets(
        fingerprint: Fingerprint,
        nowMillis: Long,
    ): Int = crashes[fingerprint]?.takeIf { it.expiresAtMillis > nowMillis }?.targets?.size ?: 0

    /** Records that [target] broke off while running [fingerprint]. */
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

    /** Takes back what [target]'s break told against [fingerprint]: the target had not crashed. */
    public fun exonerated(
        fingerprint: Fingerprint,
        target: TargetId,
    ) {
        val evidence = crashes[fingerprint] ?: return
        evidence.targets -= target
        if (evidence.targets.isEmpty()) crashes.remove(fingerprint)
    }

    /** Records that [fingerprint] ran whole: it crashes nothing. */
    public fun ranWhole(fingerprint: Fingerprint) {
        crashes.remove(fingerprint)
        proven.add(fingerprint)
    }

    /** Evidence to spread, without what has expired at [nowMillis]. */
    public fun records(nowMillis: Long): List<CrashRecord> {
        crashes.values.removeIf { it.expiresAtMillis <= nowMillis }
        return crashes.map { (fingerprint, evidence) ->
            CrashRecord(fingerprint, evidence.targets.toSet(), evidence.expiresAtMillis)
        }
    }

    /** Adds evidence [heard] from other nodes, on the clock that all share for expiry. */
    public fun merge(
        heard: List<CrashRecord>,
        nowMillis: Long,
    ) {
        heard.filter { it.expiresAtMillis > nowMillis && it.fingerprint !in proven }.forEach { record ->
            val evidence = crashes.getOrPut(record.fingerprint) { Evidence(HashSet(), record.expiresAtMillis) }
            evidence.targets += record.targets
            evidence.expiresAtMillis = maxOf(evidence.expiresAtMillis, record.expiresAtMillis)
        }
    }

    /** Bounds of the policy. */
    public companion object {
        /** Targets that one content may crash in the whole fleet. */
        public const val MAX_TARGETS: Int = 2
        private const val RETENTION_MILLIS = 600_000L
        private const val PROVEN_KEPT = 65_536
    }
}
