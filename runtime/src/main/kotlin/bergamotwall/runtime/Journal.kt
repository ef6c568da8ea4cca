package bergamotwall.runtime

import bergamotwall.model.JournalEvent
import bergamotwall.model.NodeId
import org.tinylog.Logger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReferenceArray

/** Bounded record of this process's decisions; the eldest make room. Safe for many writers, none of which waits. */
public class Journal(private val node: NodeId, private val clock: Clock, capacity: Int = DEFAULT_CAPACITY) {
    private val events = AtomicReferenceArray<JournalEvent>(capacity)
    private val next = AtomicLong()
    private val lines = LineBudget(MAX_LINES_PER_SECOND)

    /** Records [decision] and writes it to the log, within a bound of lines a second. */
    public fun record(decision: Decision) {
        val event =
            JournalEvent(
                atMillis = clock.wallMillis(),
                node = node,
                subject = decision.subject,
                decision = decision.decision,
                rule = decision.rule,
                cause = decision.cause,
                inputs = decision.inputs,
            )
        events.set((next.getAndIncrement() % events.length()).toInt(), event)
        if (lines.take(clock.monotonicMillis())) write(event)
    }

    private fun write(event: JournalEvent) {
        val dropped = lines.takeDropped()
        if (dropped > 0) Logger.warn("event=decisions_not_logged count={}", dropped)
        Logger.info(
            "subject={} decision=\"{}\" rule=\"{}\" cause=\"{}\" inputs=\"{}\"",
            event.subject,
            event.decision,
            event.rule,
            event.cause,
            event.inputs
        )
    }

    /** Events whose subject is, or starts with, [subject], eldest first. */
    public fun find(subject: String): List<JournalEvent> =
        (0 until events.length())
            .mapNotNull { events.get(it) }
            .filter { it.subject.startsWith(subject) }
            .sortedBy { it.atMillis }

    private companion object {
        private const val DEFAULT_CAPACITY = 8_192

        /** Some five lines for each request at the busiest process; more would cost the requests' processor time. */
        private const val MAX_LINES_PER_SECOND = 500
    }
}
