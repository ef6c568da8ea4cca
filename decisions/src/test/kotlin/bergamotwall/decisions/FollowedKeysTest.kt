package bergamotwall.decisions

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class FollowedKeysTest {
    @ParameterizedTest(name = "deleted {0} ms after an outage, seen {1} ms after it, back {2}: counts {3}")
    @CsvSource(
        "100, 200, false, true",
        "100, 2300, false, false",
        "100, 2300, true, true",
        "2500, 2600, false, false",
    )
    fun `a registration that lapsed in an outage has time to come back`(
        deletedAtMillis: Long,
        seenAtMillis: Long,
        back: Boolean,
        counts: Boolean,
    ) {
        val keys = FollowedKeys<String>(graceMillis = 2_200)
        keys.listed(mapOf("a" to "1", "b" to "1"), 0)
        keys.recovered(0)
        keys.deleted("a", deletedAtMillis)
        if (back) keys.put("a", "2")
        keys.expire(seenAtMillis)
        expectThat("a" in keys.current()).isEqualTo(counts)
        expectThat("b" in keys.current()).isEqualTo(true)
    }

    @ParameterizedTest(name = "outage before: {0}, missing from the listing: still counts {1}")
    @CsvSource("false, false", "true, true")
    fun `what a listing lacks is gone, unless an outage has just ended`(
        outage: Boolean,
        counts: Boolean,
    ) {
        val keys = FollowedKeys<String>(graceMillis = 2_200)
        keys.listed(mapOf("a" to "1"), 0)
        if (outage) keys.recovered(1_000)
        keys.listed(emptyMap(), 1_000)
        expectThat("a" in keys.current()).isEqualTo(counts)
    }
}
