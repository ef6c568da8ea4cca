package bergamotwall.decisions.membership

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class WatchedKeysTest {
    @ParameterizedTest(name = "deleted {0} ms and checked {1} ms after an outage, written again {2}: current {3}")
    @CsvSource(
        "100, 200, false, true",
        "100, 2300, false, false",
        "100, 2300, true, true",
        "2500, 2600, false, false",
    )
    fun `a registration that expired in an outage may be written again within the grace period`(
        deletedAtMillis: Long,
        checkedAtMillis: Long,
        writtenAgain: Boolean,
        current: Boolean,
    ) {
        val keys = WatchedKeys<String>(graceMillis = 2_200)
        keys.listed(mapOf("a" to "1", "b" to "1"), 0)
        keys.recovered(0)
        keys.deleted("a", deletedAtMillis)
        if (writtenAgain) keys.put("a", "2")
        keys.expire(checkedAtMillis)
        expectThat("a" in keys.current()).isEqualTo(current)
        expectThat("b" in keys.current()).isEqualTo(true)
    }

    @ParameterizedTest(name = "outage before the listing {0}: entry that it lacks is current {1}")
    @CsvSource("false, false", "true, true")
    fun `an entry that a listing lacks is removed, unless an outage has just ended`(
        outage: Boolean,
        current: Boolean,
    ) {
        val keys = WatchedKeys<String>(graceMillis = 2_200)
        keys.listed(mapOf("a" to "1"), 0)
        if (outage) keys.recovered(1_000)
        keys.listed(emptyMap(), 1_000)
        expectThat("a" in keys.current()).isEqualTo(current)
    }
}
