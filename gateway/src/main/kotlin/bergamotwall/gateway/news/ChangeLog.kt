package bergamotwall.gateway.news

import bergamotwall.drivers.KeyValueChange

/** The latest changes under a prefix, at most [maxChanges] with [maxChars] of keys and values. Not thread-safe. */
internal class ChangeLog(private val maxChanges: Int, private val maxChars: Int) {
    private val batches = ArrayDeque<Batch>()
    private var firstRevision = 0L
    private var changes = 0
    private var chars = 0

    /** Revision up to which the log holds the changes. */
    var revision = 0L
        private set

    /** Forgets all changes; the log goes on after [revision]. */
    fun restart(revision: Long) {
        batches.clear()
        changes = 0
        chars = 0
        firstRevision = revision
        this.revision = revision
    }

    /** Appends [added], the changes from [revision] up to [upTo]. */
    fun append(
        added: List<KeyValueChange>,
        upTo: Long,
    ): Unit = append(Batch(revision, upTo, added, isDifference = false))

    /**
     * Appends [difference], which turns the entries of [revision] into those of [upTo], but lacks what happened in
     * between.
     */
    fun appendDifference(
        difference: List<KeyValueChange>,
        upTo: Long,
    ): Unit = append(Batch(revision, upTo, difference, isDifference = true))

    private fun append(batch: Batch) {
        batches += batch
        changes += batch.changes.size
        chars += batch.chars
        revision = batch.upTo
        while (changes > maxChanges || chars > maxChars || batches.size > maxChanges) {
            val dropped = batches.removeFirst()
            changes -= dropped.changes.size
            chars -= dropped.chars
            firstRevision = dropped.upTo
        }
    }

    /**
     * The changes after revision [after], or null if some of them are forgotten. A batch that [after] lies within is
     * returned as a whole: applied in order and at once, it leads to the same state. Within a difference, [after] is
     * forgotten: the difference does not delete what was created before [after] and deleted after it.
     */
    fun since(after: Long): List<KeyValueChange>? {
        val isForgotten = after < firstRevision || batches.any { it.isDifference && after > it.from && after < it.upTo }
        return if (isForgotten) null else batches.filter { it.upTo > after }.flatMap { it.changes }
    }

    private class Batch(
        val from: Long,
        val upTo: Long,
        val changes: List<KeyValueChange>,
        val isDifference: Boolean,
    ) {
        val chars = changes.sumOf { it.key.length + ((it as? KeyValueChange.Put)?.entry?.value?.length ?: 0) }
    }
}
