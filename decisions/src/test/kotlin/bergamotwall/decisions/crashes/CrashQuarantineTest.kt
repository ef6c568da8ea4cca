package bergamotwall.decisions.crashes

import bergamotwall.model.Fingerprint
import bergamotwall.model.TargetId
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

internal class CrashQuarantineTest {
    private val limits = CrashLimits(presumedMillis = 10, secondCrashRefusalMillis = 20, retentionMillis = 100)
    private val content = Fingerprint(1)
    private val other = Fingerprint(2)

    @ParameterizedTest(name = "{0} crashes until 5, at {1}: refused for {2}")
    @CsvSource("0, 5, 0", "1, 5, 0", "2, 5, 20", "2, 24, 1", "2, 25, 0", "3, 5, 100", "3, 104, 1", "4, 105, 0")
    fun `content is refused from its second crash on, and for longer from the third on`(
        crashes: Int,
        atMillis: Long,
        expectedMillis: Long,
    ) {
        val quarantine = quarantine(crashes)
        expectThat(quarantine.refusedForMillis(content, atMillis)).isEqualTo(expectedMillis)
        expectThat(quarantine.refusedForMillis(other, atMillis)).isEqualTo(0)
    }

    @ParameterizedTest(name = "incarnation {0} registered, targets known as of {1}, at {2}: {3} crashes")
    @CsvSource(
        "7, 14, 14, 2",
        "7, 15, 15, 0",
        "7, , 50, 2",
        "7, 4, 50, 2",
        "8, 6, 6, 2",
        "8, 15, 99, 2",
        "8, 105, 105, 0",
        ", 15, 99, 2",
        ", 105, 105, 0",
    )
    fun `a presumed crash is dismissed if the same incarnation is still registered later`(
        registered: Long?,
        confirmedAtMillis: Long?,
        atMillis: Long,
        expected: Int,
    ) {
        val running = { _: TargetId, started: Long? -> started == registered }
        val swept = quarantine(2).with { it.swept(limits, running, confirmedAtMillis, atMillis) }
        expectThat(swept.crashedTargets(content).size).isEqualTo(expected)
    }

    @Test
    fun `a crash whose target is gone remains one when its address is registered again`() {
        val gone = quarantine(2).with { it.swept(limits, { _, _ -> false }, 6, 6) }
        val registeredAgain = gone.with { it.swept(limits, { _, _ -> true }, 50, 50) }
        expectThat(registeredAgain.crashedTargets(content).size).isEqualTo(2)
    }

    @Test
    fun `a completed run clears its content, and what was shared is withdrawn`() {
        val keys = (1..2).map { key(it) }
        val cleared = quarantine(3).with { it.written(keys).completed(content) }
        expectThat(cleared.empty).isTrue()
        expectThat(cleared.table.toWithdraw { false }).containsExactlyInAnyOrder(keys)
        expectThat(cleared.table.withdrawn(keys)).isEqualTo(InterruptionTable())
    }

    @ParameterizedTest(name = "{0} crashes, seen before {1}: {2} shared")
    @CsvSource("1, 4, 0", "1, 5, 1", "2, 0, 2", "3, 0, 3")
    fun `a second crash is shared at once`(
        crashes: Int,
        seenBeforeMillis: Long,
        expected: Int,
    ) {
        expectThat(quarantine(crashes).toShare(seenBeforeMillis).size).isEqualTo(expected)
    }

    @Test
    fun `interruptions of other processes count until they are withdrawn`() {
        val stored = CrashQuarantine(limits).with { it.stored(mapOf(key(1) to 7L, key(2) to 7L), 5) }
        expectThat(stored.crashedTargets(content).size).isEqualTo(2)
        expectThat(stored.toShare(100)).isEmpty()
        val withdrawn = stored.with { it.stored(mapOf(key(1) to 7L), 6) }
        expectThat(withdrawn.crashedTargets(content)).containsExactlyInAnyOrder(TargetId("t1"))
    }

    @Test
    fun `an interruption that was written but is not seen in the key-value service yet is kept`() {
        val written = quarantine(1).with { it.written(listOf(key(1))).stored(emptyMap(), 6) }
        expectThat(written.crashedTargets(content).size).isEqualTo(1)
    }

    @Test
    fun `only the responsible process withdraws what every process dismisses`() {
        val stored = InterruptionTable().stored(mapOf(key(1) to 7L, key(2) to 7L), 5)
        val dismissed = stored.swept(limits, { _, _ -> true }, 15, 15)
        expectThat(dismissed.toWithdraw { it == key(2) }).containsExactlyInAnyOrder(key(2))
        val seenAgain = dismissed.stored(mapOf(key(1) to 7L), 16)
        expectThat(CrashQuarantine(limits, seenAgain).empty).isTrue()
    }

    private fun key(target: Int) = InterruptionKey(content, TargetId("t$target"))

    /** Content of which runs were interrupted at targets 1 to [crashes], incarnation 7, the last one at 5. */
    private fun quarantine(crashes: Int): CrashQuarantine =
        CrashQuarantine(limits).with { empty ->
            (1..crashes).fold(empty) { table, target -> table.interrupted(key(target), 7, 5) }
        }
}
