package bergamotwall.decisions.placement

import bergamotwall.decisions.lruMap
import bergamotwall.model.TargetId

/** Targets that probably have a prompt prefix in their cache: those it was sent to, corrected by their cache events. */
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

    /** Applies a cache report. After a gap in the sequence or a restart, removes the target's earlier entries first. */
    fun reported(
        target: TargetId,
        prefixes: List<Long>,
        sequence: Long,
    ) {
        val last = sequences[target]
        if (last == sequence) return
        if (last == null || sequence != last + prefixes.size) removeTarget(target)
        prefixes.forEach { sent(it, target) }
        sequences[target] = sequence
    }

    fun removeTarget(target: TargetId) {
        targetsByPrefix.values.forEach { it -= target }
        sequences.remove(target)
    }

    private companion object {
        private const val CAPACITY = 8_192
    }
}
