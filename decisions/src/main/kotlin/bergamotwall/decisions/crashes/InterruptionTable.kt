package bergamotwall.decisions.crashes

import bergamotwall.model.Fingerprint
import bergamotwall.model.TargetId

/** Interrupted runs known to a process. Immutable; each change returns a new value. */
public data class InterruptionTable(public val entries: Map<InterruptionKey, Interruption> = emptyMap()) {
    /** Adds the interruption of a run by this process. */
    public fun interrupted(
        key: InterruptionKey,
        startedAtMillis: Long?,
        nowMillis: Long,
    ): InterruptionTable = InterruptionTable(entries + (key to Interruption(startedAtMillis, nowMillis)))

    /** Disproves the interruptions of [content], of which a run has completed. */
    public fun completed(content: Fingerprint): InterruptionTable =
        map { key, value ->
            if (key.content == content) value.copy(verdict = InterruptionVerdict.DISPROVED) else value
        }

    /** Marks [keys] as written to the key-value service. */
    public fun written(keys: Collection<InterruptionKey>): InterruptionTable =
        map { key, value ->
            if (key in keys && value.local) value.copy(sharing = InterruptionSharing.WRITTEN) else value
        }

    /** Forgets [keys], which were deleted from the key-value service. */
    public fun withdrawn(keys: Collection<InterruptionKey>): InterruptionTable =
        InterruptionTable(entries - keys.toSet())

    /**
     * Applies the interruptions that the key-value service holds at [nowMillis], with the starts of the targets'
     * incarnations. Those that it held before and holds no more were withdrawn.
     */
    public fun stored(
        startedAtMillis: Map<InterruptionKey, Long?>,
        nowMillis: Long,
    ): InterruptionTable {
        val kept =
            entries.filter { (key, value) -> key in startedAtMillis || value.sharing != InterruptionSharing.STORED }
        val held =
            startedAtMillis.mapValues { (key, started) ->
                (kept[key] ?: Interruption(started, nowMillis)).copy(sharing = InterruptionSharing.STORED)
            }
        return InterruptionTable(kept + held)
    }

    /**
     * Decides which presumed crashes were crashes, and dismisses what is too old. [running] tells whether an
     * incarnation of a target is registered, as of [confirmedAtMillis]; null if it is not known yet.
     */
    public fun swept(
        limits: CrashLimits,
        running: (TargetId, Long?) -> Boolean,
        confirmedAtMillis: Long?,
        nowMillis: Long,
    ): InterruptionTable =
        map { key, value ->
            val presumed = value.verdict == InterruptionVerdict.PRESUMED_CRASH
            when {
                nowMillis - value.seenAtMillis >= limits.retentionMillis ->
                    value.copy(verdict = InterruptionVerdict.DISMISSED)
                !presumed || confirmedAtMillis == null || confirmedAtMillis < value.seenAtMillis -> value
                !running(key.target, value.startedAtMillis) -> value.copy(verdict = InterruptionVerdict.CRASH)
                confirmedAtMillis - value.seenAtMillis >= limits.presumedMillis ->
                    value.copy(verdict = InterruptionVerdict.DISMISSED)
                else -> value
            }
        }

    /**
     * Interruptions to delete from the key-value service: those that this process disproved, and of the dismissed ones
     * those that it is [responsible] for.
     */
    public fun toWithdraw(responsible: (InterruptionKey) -> Boolean): List<InterruptionKey> =
        entries.filter { (key, value) ->
            value.verdict == InterruptionVerdict.DISPROVED ||
                value.verdict == InterruptionVerdict.DISMISSED && responsible(key)
        }.keys.toList()

    /** Changes all entries; those that neither count nor are known to other processes are forgotten. */
    private fun map(change: (InterruptionKey, Interruption) -> Interruption): InterruptionTable =
        InterruptionTable(
            entries.mapValues { (key, value) -> change(key, value) }.filterValues { it.verdict.counts || !it.local },
        )
}
