package bergamotwall.decisions.batches

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

internal class OwnershipPolicyTest {
    private val policy = OwnershipPolicy(boundMillis = 3_000)

    @ParameterizedTest(name = "proven {0}, failed {1} ms ago: starts work {2}, answers {3}, check in {4} ms")
    @CsvSource(
        "0, , true, true, 1000",
        "999, , true, true, 1",
        "1000, , true, true, 0",
        "2000, , true, true, -1000",
        // A paused owner.
        "2001, , false, false, -1001",
        "5000, , false, false, -4000",
        // The service has failed for a while; the owner may lack results that other processes store.
        "5000, 0, true, false, 1000",
        "5000, 1000, true, false, 0",
        "5000, 2000, true, false, -1000",
        // Paused while the service failed.
        "9000, 2001, false, false, -1001",
    )
    fun `an owner acts on a recent proof or while the service fails`(
        proofAgeMillis: Long,
        failureAgeMillis: Long?,
        startsWork: Boolean,
        answers: Boolean,
        untilCheckMillis: Long,
    ) {
        expectThat(policy.mayStartWork(proofAgeMillis, failureAgeMillis)).isEqualTo(startsWork)
        expectThat(policy.isCurrent(proofAgeMillis)).isEqualTo(answers)
        expectThat(policy.untilCheckMillis(proofAgeMillis, failureAgeMillis)).isEqualTo(untilCheckMillis)
    }

    @ParameterizedTest(name = "bound {0} ms, {1}")
    @CsvSource(
        "1000, USUAL",
        "3000, USUAL",
        "8000, USUAL",
        "1000, STARTING_WORK",
        "3000, STARTING_WORK",
        "8000, STARTING_WORK",
    )
    fun `a check that gets no response ends before work has to stop`(
        boundMillis: Long,
        demand: OwnershipDemand,
    ) {
        val policy = OwnershipPolicy(boundMillis)
        val startedAtMillis = (0L..boundMillis).first { policy.untilCheckMillis(it, null, demand) <= 0 }
        expectThat(policy.isCurrent(startedAtMillis + policy.checkTimeoutMillis)).isEqualTo(true)
        expectThat(policy.isCurrent(boundMillis)).isEqualTo(false)
    }

    /** Guards against runs of a batch that go on for longer than the bound after another process ended it. */
    @ParameterizedTest(name = "{0}: check in {1} ms")
    @CsvSource("USUAL, 1000", "STARTING_WORK, 1400", "RUNNING_WORK, 2400")
    fun `a check ends within the bound whatever the work`(
        demand: OwnershipDemand,
        untilCheckMillis: Long,
    ) {
        expectThat(policy.untilCheckMillis(0, null, demand)).isEqualTo(untilCheckMillis)
        expectThat(untilCheckMillis + policy.checkTimeoutMillis).isLessThan(3_000)
    }
}
