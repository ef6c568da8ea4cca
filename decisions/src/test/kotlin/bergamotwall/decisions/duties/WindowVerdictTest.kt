package bergamotwall.decisions.duties

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** A window is decided with starts missing, or not in time. Window 20 lasts from 100 s to 105 s and is due at 115 s. */
internal class WindowVerdictTest {
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        // What the leader knows | now | term since, covered from | complete until, last start | verdict
        "the window goes on, 104000, 0 0, 104000 103000, WAIT",
        "starts are still on their way, 106999, 0 0, 106900 103000, WAIT",
        "every start is known, 107000, 0 0, 105000 103000, DECIDE",
        "an active process is behind, 107000, 0 0, 104999 103000, WAIT",
        "an idle process pushes rarely, 107000, 0 0, 99000 50000, DECIDE",
        "an idle process is silent, 107000, 0 0, 98999 50000, WAIT",
        "a process never pushed, 110999, 0 0, , WAIT",
        "a killed process is not waited for any more, 111000, 0 0, 104000 104000, DECIDE",
        "an old build never pushes, 111000, 0 0, , DECIDE",
        "a new leader has not heard from a process, 111500, 109000 0, , WAIT",
        "a new leader has waited long enough, 112000, 109000 0, , DECIDE",
        "a new leader has heard from all, 109500, 109000 79000, 109400 104000, DECIDE",
        "the window began before the known starts, 109500, 109000 100001, 109400 104000, SKIP",
        "whether starts are missing is not known yet, 109500, 109000 109000, , WAIT",
    )
    fun `the verdict follows from what is known`(
        @Suppress("UNUSED_PARAMETER") what: String,
        nowMillis: Long,
        term: String,
        progress: String?,
        verdict: WindowVerdict,
    ) {
        val other = MemberProgress(completeUntilMillis = 200_000, lastStartMillis = null)
        val (sinceMillis, coveredFromMillis) = term.split(' ').map { it.toLong() }
        val known = progress?.split(' ')?.map { it.toLong() }
        val member = if (known == null) MemberProgress(null) else MemberProgress(known.first(), known.last())
        val members = listOf(other, member)
        val collected = UsageCollection(sinceMillis, coveredFromMillis, members)
        expectThat(windowVerdict(20, UsageWindows(5_000, 10_000), nowMillis, collected)).isEqualTo(verdict)
    }

    @ParameterizedTest(name = "{0} ms")
    @CsvSource("-1, -1", "0, 0", "4999, 0", "5000, 1", "1767225600000, 353445120")
    fun `windows are counted from the start of 1970`(
        wallMillis: Long,
        window: Long,
    ) {
        expectThat(UsageWindows(5_000, 10_000).at(wallMillis)).isEqualTo(window)
    }
}
