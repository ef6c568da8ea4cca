package bergamotwall.runtime

import bergamotwall.model.JournalEvent
import bergamotwall.model.NodeId
import org.tinylog.Logger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReferenceArray

/** Ring buffer of the latest decisions of this process. Thread-safe; writers never block. */
public class Journal(private val node: NodeId, private val clock: Clock, capacity: Int = DEFAULT_CAPACITY) {
    private val events = AtomicReferenceArray<JournalEvent>(capacity)
    private val next = AtomicLong()
    private val lineLimiter = LogRateLimiter(MAX_LINES_PER_SECOND)

    /** Records [decision] and writes it to the log, unless the limit of log lines per second is reached. */
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
        if (lineLimiter.tryAcquire(clock.monotonicMillis())) log(event)
    }

    private fun log(event: JournalEvent) {
        val dropped = lineLimiter.takeDropped()
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

    /** Events whose subject starts with [subject], oldest first. */
    public fun find(subject: String): List<JournalEvent> =
        (0 until events.length())
            .mapNotNull { events.get(it) }
            .filter { it.subject.startsWith(subject) }
            .sortedBy { it.atMillis }

    private companion object {
        private const val DEFAULT_CAPACITY = 8_192

        /** About five lines for each request at the busiest process; writing more would take CPU time from requests. */
        private const val MAX_LINES_PER_SECOND = 500
    }
}
