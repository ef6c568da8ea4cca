package bergamotwall.gateway.usage

/** The start of a run of [workspace] at [atMillis] of the monotonic clock of the process that recorded it. */
internal open class TimedStart(val workspace: String, val atMillis: Long)

/** [starts] as a message carries them at [nowMillis] of the same clock: each workspace's name once. */
internal class PackedStarts(starts: List<TimedStart>, nowMillis: Long) {
    val workspaces: List<String> = starts.mapTo(LinkedHashSet()) { it.workspace }.toList()
    val indexes: List<Int>
    val agesMillis: List<Long> = starts.map { nowMillis - it.atMillis }

    init {
        val indexOf = workspaces.withIndex().associate { (index, workspace) -> workspace to index }
        indexes = starts.map { indexOf.getValue(it.workspace) }
    }
}
