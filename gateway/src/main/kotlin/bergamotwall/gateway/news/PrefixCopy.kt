package bergamotwall.gateway.news

import bergamotwall.drivers.KeyValueChange
import bergamotwall.drivers.KeyValueChanges
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueListing
import bergamotwall.runtime.ClockReading
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.update

/**
 * Copy of the entries under one prefix, with a bounded log of their latest changes, from which other processes are
 * served. Only a copy that was listed from the key-value service and updated from nowhere else is served. Thread-safe.
 */
internal class PrefixCopy {
    private val entries = HashMap<String, KeyValueEntry>()
    private val log = ChangeLog(MAX_CHANGES, MAX_CHARS)
    private val versions = MutableStateFlow(0L)
    private var proof: ClockReading? = null

    /** Revision of the copy; null before the first listing. */
    @get:Synchronized
    var revision: Long? = null
        private set

    /** Whether all of the copy was read from the service itself, directly or over a relay. */
    @get:Synchronized
    var direct = false
        private set

    /** When the copy was last known to be current, of which only the service's own responses are evidence. */
    @get:Synchronized
    val directProof: ClockReading? get() = proof.takeIf { direct }

    /** Increases with each change and each new proof. */
    val version: StateFlow<Long> get() = versions

    /**
     * Takes [listing], which the service itself sent if [directProof] tells when it was current. If the copy was served
     * before, its readers get the difference.
     */
    @Synchronized
    fun listed(
        listing: KeyValueListing,
        directProof: ClockReading?,
    ) {
        val difference = if (direct && directProof != null) differenceTo(listing) else null
        if (difference == null) log.restart(listing.revision) else log.appendDifference(difference, listing.revision)
        entries.clear()
        listing.entries.associateByTo(entries) { it.key }
        revision = listing.revision
        direct = directProof != null
        proof = directProof
        versions.update { it + 1 }
    }

    /**
     * What turns the current entries into those of [listing]; null if that can't be served as changes up to its
     * revision, because the listing is older or has later entries.
     */
    private fun differenceTo(listing: KeyValueListing): List<KeyValueChange>? {
        val isLater = listing.revision >= log.revision && listing.entries.all { it.modRevision <= listing.revision }
        if (!isLater || revision != log.revision) return null
        val deleted = entries.keys - listing.entries.mapTo(HashSet()) { it.key }
        val written = listing.entries.filter { entries[it.key]?.modRevision != it.modRevision }
        return deleted.sorted().map { KeyValueChange.Deleted(it) } +
            written.sortedBy { it.modRevision }.map { KeyValueChange.Put(it) }
    }

    /**
     * Takes [changes], those after revision [after]. [directProof] is that of the copy if the service itself sent
     * them, null if another process did.
     */
    @Synchronized
    fun changed(
        after: Long,
        changes: KeyValueChanges,
        directProof: ClockReading?,
    ) {
        if (directProof == null || after != revision) direct = false
        if (directProof != null && proof.isBefore(directProof)) proof = directProof
        if (changes.changes.isNotEmpty()) {
            changes.changes.forEach { change ->
                if (change is KeyValueChange.Put) entries[change.key] = change.entry else entries.remove(change.key)
            }
            revision = changes.revision
            if (direct) log.append(changes.changes, changes.revision) else log.restart(changes.revision)
        }
        versions.update { it + 1 }
    }

    /** Whether [changes] would leave a key with an older entry than the copy has. */
    @Synchronized
    fun wouldRevert(changes: List<KeyValueChange>): Boolean =
        changes
            .associateBy { it.key }
            .values
            .any { it is KeyValueChange.Put && it.entry.modRevision < (entries[it.key]?.modRevision ?: 0) }

    /**
     * The changes after revision [after] with the proof of the copy, null if it is not served. The changes are null if
     * the log does not reach back that far.
     */
    @Synchronized
    fun servedSince(after: Long): Served<KeyValueChanges?>? =
        directProof?.let { proof -> Served(log.since(after)?.let { KeyValueChanges(it, log.revision) }, proof) }

    /** All entries with the proof of the copy, null if it is not served. */
    @Synchronized
    fun servedListing(): Served<KeyValueListing>? {
        val listedRevision = revision ?: return null
        return directProof?.let { Served(KeyValueListing(entries.values.toList(), listedRevision), it) }
    }

    private fun ClockReading?.isBefore(other: ClockReading) =
        this == null || monotonicMillis < other.monotonicMillis

    private companion object {
        /** Readers are rarely more than a second behind; one that is lists the entries again. */
        private const val MAX_CHANGES = 1_024

        /** About a megabyte for the three prefixes together, of a heap of 96 MB. */
        private const val MAX_CHARS = 300_000
    }
}

/** [content] for a reader, and the [proof] that it was current. */
internal class Served<T>(val content: T, val proof: ClockReading)
