package bergamotwall.gateway.workspaces

import bergamotwall.gateway.GatewayMetrics
import bergamotwall.gateway.routes.RouteTable
import bergamotwall.gateway.store.WatchConfirmation
import bergamotwall.model.ConfigurationRevision
import bergamotwall.model.NodeId
import bergamotwall.model.WorkspaceName
import bergamotwall.runtime.Journal
import bergamotwall.standins.fakes.ManualClock
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

/** Guards against keys that are accepted, or used for a send, longer than the configuration allows. */
internal class CallerKeysTest {
    private val clock = ManualClock()
    private val journal = Journal(NodeId("n"), clock)
    private var table = tableOf("key-1")
    private var confirmation: WatchConfirmation? = null
    private var current = true
    private val keys =
        CallerKeys(
            { table },
            { confirmation },
            { current },
            clock,
            WorkspaceSettings(revokeMillis = 5_000),
            KeyRefusals(journal, GatewayMetrics()),
        )

    @ParameterizedTest(name = "key {0}, public {1}, proven {2} ms ago, current {3}: {4}")
    @CsvSource(
        "key-1, false, 0, true, one",
        "key-1, false, 4499, false, one",
        "key-1, false, 4500, false, UNPROVEN",
        "key-1, false, , false, UNPROVEN",
        "key-0, false, 0, true, UNKNOWN",
        "key-0, false, 4500, false, NOT_KNOWN_YET",
        ", false, 0, true, MISSING",
        ", false, 4500, false, NOT_KNOWN_YET",
        "key-1, true, 0, true, one",
        "key-1, true, 4500, false, none",
        "key-0, true, 0, true, none",
        ", true, , false, none",
    )
    fun `a refusal is final only if the configuration is current, and a key needs a recent proof`(
        key: String?,
        public: Boolean,
        provenMillis: Long?,
        isCurrent: Boolean,
        expected: String,
    ) {
        prove()
        provenMillis?.let { clock.advance(it) } ?: run { confirmation = null }
        current = isCurrent
        val access = keys.authorize("request/1", listOfNotNull(key?.let { "Bearer $it" }), public)
        val outcome =
            when (access) {
                is KeyAccess.Granted -> access.workspace?.value ?: "none"
                is KeyAccess.Refused -> access.refusal.name
            }
        expectThat(outcome).isEqualTo(expected)
        val refused = if (access is KeyAccess.Refused) 1 else 0
        expectThat(journal.find("request/1")).hasSize(refused)
        expectThat("key-" in journal.find("request/1").toString()).isFalse()
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "nothing, true",
        "the key is removed, false",
        "the proof gets old, false",
        "the proof gets old and is renewed, true",
        "there are no workspaces any more, true",
    )
    fun `a key that was accepted is checked again before each send`(
        change: String,
        sent: Boolean,
    ) {
        prove()
        val granted = keys.authorize("request/1", listOf("Bearer key-1")) as KeyAccess.Granted
        if ("old" in change) clock.advance(4_500)
        if ("renewed" in change) prove()
        if ("removed" in change) table = tableOf("key-2")
        if ("no workspaces" in change) table = RouteTable(ConfigurationRevision(2))
        expectThat(granted.check.refusal() == null).describedAs(change).isEqualTo(sent)
    }

    /** A request that is checked while a new configuration is applied must not combine its proof with the old keys. */
    @Test
    fun `the proof is read before the configuration`() {
        prove()
        val racing =
            CallerKeys(
                { table },
                { confirmation.also { table = tableOf("key-2") } },
                { current },
                clock,
                WorkspaceSettings(revokeMillis = 5_000),
                KeyRefusals(journal, GatewayMetrics()),
            )
        expectThat(racing.authorize("request/1", listOf("Bearer key-1")))
            .isEqualTo(KeyAccess.Refused(KeyRefusal.UNKNOWN))
    }

    private fun prove() {
        confirmation = WatchConfirmation(clock.monotonicMillis(), clock.wallMillis(), 0, null)
    }

    private fun tableOf(key: String): RouteTable {
        val workspace = Workspace(WorkspaceName("one"), setOf(KeyDigest.of(key)), 0)
        return RouteTable(ConfigurationRevision(1), workspaces = Workspaces(listOf(workspace)))
    }
}
