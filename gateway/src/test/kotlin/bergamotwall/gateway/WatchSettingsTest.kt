package bergamotwall.gateway

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

internal class WatchSettingsTest {
    @ParameterizedTest(name = "changes are applied within {0} ms: polls of {1} ms")
    @CsvSource("2000, 1500", "3000, 2250", "4000, 3000")
    fun `a dead connection is detected in the time in which a change must be applied`(
        staleMillis: Long,
        waitMillis: Long,
    ) {
        val settings = WatchSettings(configurationStaleMillis = staleMillis)
        expectThat(settings.configurationWaitMillis).isEqualTo(waitMillis)
        expectThat(settings.configurationWaitMillis + settings.marginMillis).isLessThanOrEqualTo(staleMillis)
    }
}
