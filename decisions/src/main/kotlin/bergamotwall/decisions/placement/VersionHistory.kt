package bergamotwall.decisions.placement

import bergamotwall.model.SoftwareVersion

/**
 * The software versions that the targets of one service run or ran lately. [leftAtMillis] holds the time at which the
 * last target of each version was unregistered, in milliseconds since the epoch; null while one is registered.
 *
 * A version is on record before the first stream begins at it. So a stream that nothing else is known of began at
 * the [sole] version, if there is one.
 */
public data class VersionHistory(public val leftAtMillis: Map<SoftwareVersion, Long?> = emptyMap()) {
    /** Whether [version] is on record as that of a registered target. */
    public fun serves(version: SoftwareVersion): Boolean =
        version in leftAtMillis && leftAtMillis.getValue(version) == null

    /**
     * The only version at which a stream can have begun that is no older than [retentionMillis]; null if there are
     * several or none.
     */
    public fun sole(
        nowMillis: Long,
        retentionMillis: Long,
    ): SoftwareVersion? =
        leftAtMillis.filterValues { it == null || nowMillis - it < retentionMillis }.keys.singleOrNull()

    /**
     * The history once targets of the [registered] versions are registered, and no others. Versions that left more than
     * [retentionMillis] ago are dropped if anything else changes.
     */
    public fun next(
        registered: Set<SoftwareVersion>,
        nowMillis: Long,
        retentionMillis: Long,
    ): VersionHistory {
        val left = (leftAtMillis.keys - registered).associateWith { leftAtMillis[it] ?: nowMillis }
        val changed = left + registered.associateWith { null }
        if (changed == leftAtMillis) return this
        return VersionHistory(changed.filterValues { it == null || nowMillis - it < retentionMillis })
    }
}
