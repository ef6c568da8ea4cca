package bergamotwall.decisions.workspaces

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import kotlin.random.Random

/** Guards against a removed key that is accepted by a process that can't have learned of its removal. */
internal class KeyValidityTest {
    @ParameterizedTest(name = "{0}: accepted {4}")
    @CsvSource(
        "proven just now, 5000, 0, 0, true",
        "between two polls, 5000, 2250, 2250, true",
        "cut off for a while, 5000, 4499, 4499, true",
        "cut off for the bound less the margin, 5000, 4500, 4500, false",
        "cut off for long, 5000, 60000, 60000, false",
        "paused while its clocks ran, 5000, 9000, 9000, false",
        "suspended with its monotonic clock, 5000, 100, 9000, false",
        "wall clock set back, 5000, 1000, -3000, true",
        "cut off with the wall clock set back, 5000, 6000, 1000, false",
        "wall clock set ahead a little, 5000, 1000, 3000, true",
        "wall clock set ahead, 5000, 1000, 6000, false",
        "a shorter bound, 2000, 1799, 1799, true",
        "a shorter bound passed, 2000, 1800, 1800, false",
        "no bound and cut off for long, , 60000, 60000, true",
    )
    fun `a key is accepted while the configuration was known to be the newest recently`(
        case: String,
        revokeMillis: Long?,
        monotonicMillis: Long,
        wallMillis: Long,
        accepted: Boolean,
    ) {
        expectThat(KeyValidity(revokeMillis).accepts(ProofAge(monotonicMillis, wallMillis)))
            .describedAs(case)
            .isEqualTo(accepted)
    }

    @ParameterizedTest(name = "bound {0}: accepted {1}")
    @CsvSource("5000, false", ", true")
    fun `a process that just restarted accepts no key before its first proof if there is a bound`(
        revokeMillis: Long?,
        accepted: Boolean,
    ) {
        expectThat(KeyValidity(revokeMillis).accepts(null)).isEqualTo(accepted)
    }

    /**
     * A process with a proof at time 0 checks a request at a random moment after random pauses, suspensions and jumps
     * of the wall clock. The removal was acknowledged after the proof; a request sent [REVOKE_MILLIS] later must fail.
     */
    @Test
    fun `no request sent later than the bound after the removal is accepted, whatever the clocks did`() {
        val random = Random(SEED)
        var refusedEarly = 0
        repeat(RUNS) {
            val removedAtMillis = random.nextLong(REVOKE_MILLIS)
            val sentAtMillis = removedAtMillis + REVOKE_MILLIS + random.nextLong(REVOKE_MILLIS)
            val checkedAtMillis = sentAtMillis + random.nextLong(REVOKE_MILLIS)
            // Either the monotonic clock ran throughout, or the wall clock was not set back during a suspension.
            val suspended = random.nextBoolean()
            val suspendedMillis = if (suspended) random.nextLong(checkedAtMillis) else 0
            val jumpMillis = random.nextLong(if (suspended) 0 else -JUMP_MILLIS, JUMP_MILLIS)
            val age = ProofAge(checkedAtMillis - suspendedMillis, checkedAtMillis + jumpMillis)
            expectThat(KeyValidity(REVOKE_MILLIS).accepts(age)).isFalse()
            if (!KeyValidity(REVOKE_MILLIS).accepts(ProofAge(removedAtMillis, removedAtMillis))) refusedEarly++
        }
        expectThat(RUNS - refusedEarly).isGreaterThan(RUNS / 2)
    }

    private companion object {
        private const val SEED = 17
        private const val RUNS = 2_000
        private const val REVOKE_MILLIS = 5_000L
        private const val JUMP_MILLIS = 8_000L
    }
}
