package bergamotwall.decisions.duties

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** A start is counted twice, or never, after a lost message, a lost response or a change of the leader. */
internal class SequenceMergeTest {
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // Case | expected, first, count, oldest | known | next
        "the first push, 0 0 3 0, 0, 3",
        "the next push, 3 3 2 0, 0, 5",
        "a push without starts, 3 3 0 0, 0, 3",
        "its response was lost, 3 0 3 0, 3, 3",
        "its response was lost and there are more, 3 0 5 0, 3, 5",
        "an old copy arrives late, 5 0 3 0, 3, 5",
        "a new leader gets what is still there, 0 40 10 40, 0, 50",
        "the sender was cut off for long, 5 40 10 40, 0, 50",
        "a push of the former leader's rest, 0 40 10 10, , ",
        "the message before was lost, 3 5 2 0, , ",
    )
    fun `a push is merged by its numbers`(
        @Suppress("UNUSED_PARAMETER") case: String,
        push: String,
        known: Int?,
        next: Long?,
    ) {
        val merge = if (known == null || next == null) null else SequenceMerge(known, next)
        val numbers = push.split(' ').map { it.toLong() }
        val (expected, first, count) = numbers
        expectThat(mergeSequence(expected, first, count.toInt(), oldest = numbers.last())).isEqualTo(merge)
    }
}
