package bergamotwall.decisions.placement

import bergamotwall.model.SoftwareVersion
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Histories are written as `version`, or `version@time` for one that left. */
internal class VersionHistoryTest {
    @ParameterizedTest(name = "{0} at {1}: sole {2}")
    @CsvSource(
        "'', 0, ''",
        "v1, 0, v1",
        "v1 v2, 0, ''",
        // A version that left counts as long as its streams can be resumed.
        "v1@0 v2, 99, ''",
        "v1@0 v2, 100, v2",
        "v1@0, 99, v1",
        "v1@0, 100, ''",
        // Another process's clock may be ahead.
        "v1@50 v2, 0, ''",
    )
    fun `a version is the sole one if no other served within the retention`(
        history: String,
        nowMillis: Long,
        sole: String,
    ) {
        expectThat(parse(history).sole(nowMillis, RETENTION_MILLIS)?.value.orEmpty()).isEqualTo(sole)
    }

    @ParameterizedTest(name = "{0}, registered {1} at {2}: {3}")
    @CsvSource(
        "'', v1, 5, v1",
        "v1, v1, 5, v1",
        "v1, v1 v2, 5, v1 v2",
        "v1 v2, v2, 5, v1@5 v2",
        "v1@5 v2, v2, 9, v1@5 v2",
        "v1@5 v2, v1 v2, 9, v1 v2",
        // Without a registered target, the last version is kept.
        "v1, '', 5, v1@5",
        // Versions that left long ago are dropped with the next change only.
        "v1@5 v2, v2, 500, v1@5 v2",
        "v1@5 v2, v2 v3, 500, v2 v3",
    )
    fun `the history follows the registered versions`(
        history: String,
        registered: String,
        nowMillis: Long,
        expected: String,
    ) {
        val versions = registered.split(' ').filter { it.isNotEmpty() }.mapTo(HashSet()) { SoftwareVersion(it) }
        expectThat(parse(history).next(versions, nowMillis, RETENTION_MILLIS)).isEqualTo(parse(expected))
    }

    private fun parse(text: String) =
        VersionHistory(
            text.split(' ').filter { it.isNotEmpty() }.associate { word ->
                SoftwareVersion(word.substringBefore('@')) to word.substringAfter('@', "").toLongOrNull()
            },
        )

    private companion object {
        private const val RETENTION_MILLIS = 100L
    }
}
