package bergamotwall.gateway.usage

import bergamotwall.decisions.duties.MemberProgress
import bergamotwall.decisions.duties.UsageCollection
import bergamotwall.decisions.duties.medianMillis
import bergamotwall.model.NodeId
import bergamotwall.model.UsageStarts
import bergamotwall.runtime.Clock
import java.util.TreeMap

/** Starts of all processes, as received by the leader since [sinceMillis]. Not thread-safe. */
internal class UsageCollector(private val clock: Clock, private val sinceMillis: Long) {
    private data class Sender(val node: NodeId, val incarnation: Long)

    private val senders = HashMap<Sender, CollectedStarts>()

    /** For each process, the incarnation from which the leader heard first. */
    private val firstHeard = HashMap<NodeId, CollectedStarts>()

    /** The fleet's wall clock less this process's monotonic clock: the median of the processes heard lately. */
    val wallOffsetMillis: Long
        get() {
            val heardFromMillis = clock.monotonicMillis() - CLOCK_MILLIS
            val recent = senders.values.filter { it.heardAtMillis >= heardFromMillis }
            return medianMillis(
                recent.map { it.wallOffsetMillis }.ifEmpty { listOf(clock.wallMillis() - clock.monotonicMillis()) },
            )
        }

    /** Whether any of [nodes] was heard from at [fromMillis] or later. */
    fun heardAny(
        nodes: Set<NodeId>,
        fromMillis: Long,
    ): Boolean = senders.any { (sender, starts) -> sender.node in nodes && starts.heardAtMillis >= fromMillis }

    /** Merges [message]; returns the number of the start that the sender should push next. */
    fun receive(
        message: UsageStarts,
        onStart: (Long) -> Unit = {},
    ): Long {
        val starts = senders.getOrPut(Sender(message.node, message.incarnation)) { CollectedStarts() }
        val known = message.node in firstHeard
        if (!known) firstHeard[message.node] = starts
        return starts.merge(message, clock.monotonicMillis()) { if (known) onStart(it) }
    }

    /** What is known of the starts of [registered] processes and of others heard lately, in the fleet's time. */
    fun collection(
        registered: Set<NodeId>,
        wallOffsetMillis: Long,
    ): UsageCollection {
        forgetSilent(registered)
        val heard = senders.keys.mapTo(HashSet()) { it.node }
        val awaitedFromMillis = clock.monotonicMillis() - AWAIT_MILLIS
        val newest =
            senders.entries
                .groupBy { it.key.node }
                .map { (_, incarnations) -> incarnations.maxBy { it.value.heardAtMillis } }
                .filter { (sender, starts) -> sender.node in registered || starts.heardAtMillis >= awaitedFromMillis }
        val coveredFromMillis = firstHeard.values.mapNotNull { it.coveredFromMillis }.maxOrNull() ?: sinceMillis
        return UsageCollection(
            sinceMillis = sinceMillis + wallOffsetMillis,
            // A process that appears later had no starts before; what an earlier incarnation pushed is kept.
            coveredFromMillis = minOf(sinceMillis, coveredFromMillis) + wallOffsetMillis,
            members = newest.map { it.value.progress(wallOffsetMillis) } +
                (registered - heard).map { MemberProgress(null) },
        )
    }

    /** Number of starts of each workspace from [fromMillis] until [untilMillis], in the fleet's time. */
    fun counts(
        fromMillis: Long,
        untilMillis: Long,
        wallOffsetMillis: Long,
    ): Map<String, Int> {
        val counts = TreeMap<String, Int>()
        senders.values.forEach { it.count(fromMillis, untilMillis, wallOffsetMillis, counts) }
        return counts
    }

    /** Drops the starts before [fromMillis], in the fleet's time. */
    fun drop(
        fromMillis: Long,
        wallOffsetMillis: Long,
    ): Unit = senders.values.forEach { it.drop(fromMillis, wallOffsetMillis) }

    private fun forgetSilent(registered: Set<NodeId>) {
        val fromMillis = clock.monotonicMillis() - FORGET_MILLIS
        senders.entries.removeIf { (sender, starts) ->
            starts.heardAtMillis < fromMillis && sender.node !in registered
        }
    }

    private companion object {
        /** Several times the interval at which idle processes push. */
        private const val CLOCK_MILLIS = 15_000L

        /** How long a process that is not registered any more is waited for: it may only be cut off. */
        private const val AWAIT_MILLIS = 10_000L

        /** Longer than a window with all its delays. */
        private const val FORGET_MILLIS = 60_000L
    }
}
