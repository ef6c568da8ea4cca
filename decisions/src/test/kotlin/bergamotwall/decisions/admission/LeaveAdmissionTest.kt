package bergamotwall.decisions.admission

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import kotlin.random.Random

internal class LeaveAdmissionTest {
    private val admission = LeaveAdmission(settleMillis = 2_600, endMillis = 7_300)

    @ParameterizedTest(name = "after {0} ms, up to {1} ms long: {2}")
    @CsvSource(
        "0, 60000, true",
        "2600, 60000, true",
        "2601, 60000, false",
        "2601, 4699, true",
        "5300, 2000, true",
        "5301, 2000, false",
        "7300, 0, true",
        "7301, 1, false",
    )
    fun `late requests are accepted if they end in any case`(
        elapsedMillis: Long,
        longestMillis: Long,
        accepted: Boolean,
    ) {
        expectThat(admission.accepts(elapsedMillis, longestMillis)).isEqualTo(accepted)
    }

    /** Replays callers that keep using their open connections: none that comes late is cut off after it has run. */
    @Test
    fun `no late request that is accepted outlasts the process`() {
        val random = Random(1)
        val requests = List(REQUESTS) { random.nextLong(GRACE_MILLIS) to random.nextLong(MAX_TIMEOUT_MILLIS) }
        val accepted = requests.filter { (atMillis, timeoutMillis) -> admission.accepts(atMillis, timeoutMillis) }
        val late = accepted.filter { (atMillis, _) -> atMillis > 2_600 }
        expectThat(late.size).isGreaterThan(0)
        expectThat(late.filter { (atMillis, timeoutMillis) -> atMillis + timeoutMillis > 7_300 }).isEmpty()
    }

    private companion object {
        private const val REQUESTS = 10_000
        private const val GRACE_MILLIS = 8_000L
        private const val MAX_TIMEOUT_MILLIS = 12_000L
    }
}
