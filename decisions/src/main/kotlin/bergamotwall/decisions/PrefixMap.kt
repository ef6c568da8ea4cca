package bergamotwall.decisions

import bergamotwall.model.TargetId

/** Which targets likely hold a prompt prefix in their cache: what was sent there, corrected by their cache events. */
internal class PrefixMap {
    private val targetsByPrefix = lruMap<Long, MutableSet<TargetId>>(CAPACITY)
    private val sequences = HashMap<TargetId, Long>()

    fun holders(prefix: Long): Set<TargetId> = targetsByPrefix[prefix].orEmpty()

    fun sent(
        prefix: Long,
        target: TargetId,
    ) {
        targetsByPrefix.getOrPut(prefix) { HashSet() } += target
    }

    /** Applies a cache report; after a gap, or a restart, the target's earlier entries are dropped first. */
    fun reported(
        target: TargetId,
        prefixes: List<Long>,
        sequence: Long,
    ) {
        val last = sequences[target]
        if (last == sequence) return
        if (last == null || sequence != last + prefixes.size) forget(target)
        prefixes.forEach { sent(it, target) }
        sequences[target] = sequence
    }

    fun forget(target: TargetId) {
        targetsByPrefix.values.forEach { it -= target }
        sequences.remove(target)
    }

    private companion object {
        private const val CAPACITY = 8_192
    }
}
