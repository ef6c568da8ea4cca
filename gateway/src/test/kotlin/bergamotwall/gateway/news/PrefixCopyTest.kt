package bergamotwall.gateway.news

import bergamotwall.drivers.KeyValueChange
import bergamotwall.drivers.KeyValueChanges
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueListing
import bergamotwall.runtime.ClockReading
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue

internal class PrefixCopyTest {
    private val copy = PrefixCopy()
    private val proof = ClockReading(1, 1)

    @ParameterizedTest(name = "after revision {0}: {1}")
    @CsvSource("9, gone", "10, b c d", "11, b c d", "13, b c d", "14, d", "20, ''", "30, ''")
    fun `a reader gets all changes after its revision`(
        after: Long,
        keys: String,
    ) {
        copy.listed(KeyValueListing(listOf(entry("a", 3)), 10), proof)
        copy.changed(10, KeyValueChanges(listOf(put("b", 12), put("c", 13)), 14), proof)
        copy.changed(14, KeyValueChanges(listOf(put("d", 20)), 20), proof)
        val changes = copy.servedSince(after)?.content
        expectThat(changes?.changes?.joinToString(" ") { it.key } ?: "gone").isEqualTo(keys)
    }

    /**
     * Guards against readers that keep a key that was created and deleted while the history was gone: a difference can
     * only be applied to the state that it was computed from.
     */
    @ParameterizedTest(name = "after revision {0}: {1}")
    @CsvSource("9, gone", "10, -a b c", "12, gone", "19, gone", "20, ''", "25, ''")
    fun `the difference to a new listing is served to readers that have the state before it`(
        after: Long,
        keys: String,
    ) {
        copy.listed(KeyValueListing(listOf(entry("a", 3), entry("b", 4), entry("d", 5)), 10), proof)
        copy.listed(KeyValueListing(listOf(entry("c", 18), entry("b", 12), entry("d", 5)), 20), proof)
        val changes = copy.servedSince(after)?.content?.changes
        val text = changes?.joinToString(" ") { if (it is KeyValueChange.Deleted) "-${it.key}" else it.key }
        expectThat(text ?: "gone").isEqualTo(keys)
    }

    /** Pages of a listing are read one after another, so that an entry may be newer than the listing's revision. */
    @Test
    fun `the difference to a listing with later entries is not served`() {
        copy.listed(KeyValueListing(listOf(entry("a", 3)), 10), proof)
        copy.listed(KeyValueListing(listOf(entry("a", 21)), 20), proof)
        expectThat(copy.servedSince(10)?.content).isNull()
    }

    /** Guards against memory that grows with the number and the size of changes. */
    @Test
    fun `the log is bounded, and a reader that it does not reach lists again`() {
        val log = ChangeLog(maxChanges = 10, maxChars = 100)
        log.restart(0)
        (1L..30L).forEach { log.append(listOf(put("k$it", it)), it) }
        expectThat(log.since(0)).isNull()
        expectThat(log.since(25)?.size).isEqualTo(5)
        log.append(listOf(put("large".repeat(40), 31)), 31)
        expectThat(log.since(30)).isNull()
        expectThat(log.since(31)?.size).isEqualTo(0)
        expectThat((0L..31L).maxOf { log.since(it)?.size ?: 0 }).isLessThanOrEqualTo(10)
    }

    /** Guards against passing changes on over a second process, whose proof would be worth nothing. */
    @Test
    fun `a copy with changes of another process is not served`() {
        copy.listed(KeyValueListing(emptyList(), 10), proof)
        expectThat(copy.servedSince(10)?.proof).isEqualTo(proof)
        copy.changed(10, KeyValueChanges(listOf(put("b", 12)), 12), null)
        copy.changed(12, KeyValueChanges(emptyList(), 12), ClockReading(2, 2))
        expectThat(copy.servedSince(12)).isNull()
        expectThat(copy.servedListing()).isNull()
        copy.listed(KeyValueListing(emptyList(), 12), ClockReading(3, 3))
        expectThat(copy.servedSince(12)?.proof).isEqualTo(ClockReading(3, 3))
    }

    @Test
    fun `a change that would return a key to an older entry is recognised`() {
        copy.listed(KeyValueListing(listOf(entry("a", 8)), 10), proof)
        expectThat(copy.wouldRevert(listOf(put("a", 7)))).isTrue()
        expectThat(copy.wouldRevert(listOf(put("a", 7), put("a", 8)))).isFalse()
        expectThat(copy.wouldRevert(listOf(put("b", 7), KeyValueChange.Deleted("a")))).isFalse()
    }

    private fun put(
        key: String,
        revision: Long,
    ) = KeyValueChange.Put(entry(key, revision))

    private fun entry(
        key: String,
        revision: Long,
    ) = KeyValueEntry(key, "v", revision, revision)
}
