package bergamotwall.gateway.explain

import bergamotwall.gateway.GatewaySettings
import bergamotwall.gateway.Leave
import bergamotwall.gateway.batches.BatchFixture
import bergamotwall.gateway.batches.Batches
import bergamotwall.gateway.crashes.CrashGuard
import bergamotwall.gateway.forwarding.ForwardLimits
import bergamotwall.gateway.forwarding.StreamResume
import bergamotwall.gateway.routes.Route
import bergamotwall.gateway.routes.RouteKind
import bergamotwall.gateway.routes.RouteTable
import bergamotwall.gateway.routes.ServiceShare
import bergamotwall.gateway.store.WatchConfirmation
import bergamotwall.gateway.streams.OriginPeek
import bergamotwall.gateway.streams.StreamOrigin
import bergamotwall.gateway.streams.StreamOrigins
import bergamotwall.gateway.targets.ReportedLoad
import bergamotwall.gateway.targets.Target
import bergamotwall.gateway.targets.TargetDependencies
import bergamotwall.gateway.workspaces.CallerKeys
import bergamotwall.gateway.workspaces.KeyAccess
import bergamotwall.gateway.workspaces.KeyDigest
import bergamotwall.gateway.workspaces.KeyRefusals
import bergamotwall.gateway.workspaces.Workspace
import bergamotwall.gateway.workspaces.WorkspaceSettings
import bergamotwall.gateway.workspaces.Workspaces
import bergamotwall.model.BatchRecord
import bergamotwall.model.ConfigurationRevision
import bergamotwall.model.DataCentre
import bergamotwall.model.Fingerprint
import bergamotwall.model.NodeId
import bergamotwall.model.RequestId
import bergamotwall.model.ServiceName
import bergamotwall.model.SoftwareVersion
import bergamotwall.model.TargetId
import bergamotwall.model.WorkspaceName
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/**
 * Guards against explanations that differ from what the process would do, that change what it will do, or that tell a
 * key. Without a network, in virtual time. Service `s` has the targets `near` and `far`.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal class ExplainerTest {
    private val fixture = BatchFixture()
    private lateinit var batches: Batches
    private lateinit var dependencies: TargetDependencies
    private lateinit var leave: Leave
    private var current = true
    private var quarantineMillis = 0L
    private var origin: OriginPeek = OriginPeek.InStore

    @AfterEach
    fun close(): Unit = fixture.close()

    @ParameterizedTest(name = "{0}, {1}: {2} {3} {4}")
    @CsvSource(
        // state, path, admitted, status, text of the choice or reason
        "usual, /idempotent/x, true, , target near",
        "usual, /none/x, false, 404, no route matches",
        "outdated, /none/x, false, 503, may be outdated",
        "no configuration, /idempotent/x, false, 503, no configuration",
        "unknown key, /idempotent/x, false, 401, the key is not known",
        "missing key, /idempotent/x, false, 401, is missing",
        "missing key, /public/x, true, , target near",
        "malformed, /idempotent/x, false, 400, malformed as told",
        "no time, /idempotent/x, false, 503, deadline",
        "leaving, /idempotent/x, false, 503, this process is leaving",
        "crashing content, /idempotent/x, false, 503, crashed the targets",
        "near full, /idempotent/x, true, , target far",
        "all full, /idempotent/x, true, , target near",
        "near backs off, /idempotent/x, true, , target far",
        "all back off, /idempotent/x, true, , target near",
        "near leaving, /idempotent/x, true, , target far",
        "near limited, /idempotent/x, true, , target far",
        "all limited, /idempotent/x, false, 503, at their request limits",
        "no targets, /idempotent/x, false, 503, no usable target",
        "usual, /stream/x, true, , target near",
        "resumed at far, /stream/x, true, , target far",
        "resumed elsewhere, /stream/x, false, 503, no longer serves",
        "resumed outdated, /stream/x, false, 503, not known at which software version",
        "resumed unknown, /stream/x, , , ",
        "usual, /batch/x, true, , this process; 2 items would be sent now",
        "all full, /batch/x, true, , this process; 0 items",
        "not ready, /batch/x, false, 503, not ready",
        "other owner, /batch/x, , , process other",
        "wrong method, /batch/x, false, 405, submitted with POST",
        "usual, /api/lots/b, , , which asks the batch's owner",
    )
    fun `an explanation tells what would happen, and why`(
        state: String,
        path: String,
        admitted: Boolean?,
        status: Int?,
        text: String?,
    ) = runTest(fixture.dispatcher) {
        val explainer = explainer(this)
        enter(state)
        val explanation = explainer.explain(questionOf(state, path))
        expectThat(explanation.admitted).isEqualTo(admitted)
        expectThat(explanation.status).isEqualTo(status)
        val told = explanation.reason ?: explanation.choice
        if (text == null) expectThat(told).isNull() else expectThat(told).isNotNull().contains(text)
        expectThat(explanation.toString().contains(KEY)).isEqualTo(false)
        if (explanation.route?.public == false && state != "unknown key" && state != "missing key") {
            expectThat(explanation.workspace).isEqualTo("one")
        }
    }

    @Test
    fun `a target's inputs are told with their ages, and so is what would change the choice`() =
        runTest(fixture.dispatcher) {
            val explainer = explainer(this)
            val nowMillis = dependencies.clock.monotonicMillis()
            dependencies.loads.of(NEAR.id).reported(ReportedLoad(running = 1, waiting = 0, slots = 4), nowMillis)
            dependencies.loads.of(FAR.id).failed(nowMillis)
            fixture.pausedMillis += 100
            val explanation = explainer.explain(questionOf("usual", "/idempotent/x"))
            val (near, far) = explanation.services.single().targets
            expectThat(near.otherRequestsAgeMillis).isEqualTo(100)
            expectThat(near.otherRequests).isEqualTo(1)
            expectThat(far.backoffMillis).isEqualTo(100)
            expectThat(far.verdict).contains("it backs off")
            expectThat(explanation.changes).contains("target far: in 100 ms, its backoff ends")
            expectThat(explanation.limits?.repeatable).isEqualTo(true)
            expectThat(explanation.limits?.hedgeAfterMillis).isEqualTo(250)
            expectThat(explanation.configurationAgeMillis).isEqualTo(100)
            expectThat(explainer.explain(questionOf("usual", "/once/x")).limits?.repeatable).isEqualTo(false)
        }

    @Test
    fun `streams with the same prompt prefix are placed by expected time, as others are`() =
        runTest(fixture.dispatcher) {
            val explainer = explainer(this)
            val question = questionOf("usual", "/stream/x", body = "prefix, one")
            expectThat(explainer.explain(question).notes.single()).contains("the prompt is no input")
            enter("near full")
            val other = explainer.explain(questionOf("usual", "/stream/x", body = "prefix, two"))
            expectThat(other.choice).isEqualTo("target far")
        }

    @ParameterizedTest(name = "{0}")
    @CsvSource("/idempotent/x", "/none/x", "/stream/x", "/batch/x", "/once/x")
    fun `an explanation changes no state`(path: String) =
        runTest(fixture.dispatcher) {
            val explainer = explainer(this)
            val random = dependencies.random
            for (state in listOf("usual", "unknown key", "crashing content", "near limited", "leaving")) {
                enter(state)
                val before = stateOf()
                repeat(3) { explainer.explain(questionOf(state, path)) }
                expectThat(stateOf()).isEqualTo(before)
            }
            expectThat(dependencies.loads.find(UNUSED)).isNull()
            // A draw of the source that spreads requests would have changed the next one.
            expectThat(random.nextLong()).isEqualTo(kotlin.random.Random(1).nextLong())
        }

    private suspend fun stateOf(): List<Any> {
        val loads = listOf(NEAR.id, FAR.id, UNUSED).map { id -> dependencies.loads.find(id)?.let { stateOf(it) } ?: id }
        val journal = fixture.journal.find("")
        return listOf(dependencies.metrics.expose(), journal, loads, fixture.reads, fixture.lists, fixture.sent())
    }

    private fun stateOf(load: bergamotwall.gateway.targets.TargetLoad): Any {
        val nowMillis = dependencies.clock.monotonicMillis()
        val candidate = load.candidate(NEAR, local = true, nowMillis)
        return listOf(candidate, load.limit.perSecond, load.failureCount, load.backoffEndsAtMillis, load.ownRequests)
    }

    private suspend fun BatchFixture.sent(): Any = memoryStore.list("bergamotwall/").toString()

    private suspend fun enter(state: String) {
        val nowMillis = dependencies.clock.monotonicMillis()
        when (state) {
            "outdated" -> current = false
            "no configuration" -> fixture.gatewayState.routes.update { RouteTable() }
            "leaving" -> {
                leave.begin()
                fixture.pausedMillis += LATE_MILLIS
            }
            "not ready" -> fixture.self = fixture.self.copy(ready = false)
            "crashing content" -> quarantineMillis = 700
            "near leaving" -> fixture.gatewayState.targets.update { it.withDeparture(NEAR) }
            "no targets" -> fixture.gatewayState.targets.update { it.next(emptyMap(), nowMillis) }
            "resumed at far" -> origin = OriginPeek.Known(StreamOrigin(SERVICE, SoftwareVersion("v2")), "the test")
            "resumed elsewhere" ->
                origin = OriginPeek.Known(StreamOrigin(ServiceName("gone"), SoftwareVersion("v2")), "the test")
            "resumed outdated" -> origin = OriginPeek.OutdatedTargets(9_000)
            "other owner" -> fixture.setMembers(batches, fixture.memberAssignedOverSelf())
            else -> targetsOf(state).forEach { load(it, state.substringAfter(' '), nowMillis) }
        }
    }

    private fun targetsOf(state: String): List<Target> =
        when (state.substringBefore(' ')) {
            "near" -> listOf(NEAR)
            "all" -> listOf(NEAR, FAR)
            else -> emptyList()
        }

    private fun load(
        target: Target,
        state: String,
        nowMillis: Long,
    ) {
        val load = dependencies.loads.of(target.id)
        when (state) {
            "full" -> repeat(target.slots) { load.sent(nowMillis) }
            "limited" -> dependencies.limits.reported(target, 1.0, nowMillis, nowMillis)
            else -> load.failed(nowMillis)
        }
    }

    private fun explainer(scope: TestScope): Explainer {
        batches = fixture.batches(scope)
        dependencies = fixture.shared
        val routes =
            listOf(
                route("/idempotent/", RouteKind.IDEMPOTENT),
                route("/public/", RouteKind.IDEMPOTENT).copy(public = true),
                route("/once/", RouteKind.AT_MOST_ONCE),
                route("/stream/", RouteKind.STREAM).copy(resumable = true),
                fixture.route,
            )
        val workspaces = Workspaces(listOf(Workspace(WorkspaceName("one"), setOf(KeyDigest.of(KEY)), priority = 3)))
        fixture.gatewayState.routes.update { RouteTable(ConfigurationRevision(7), routes, emptyList(), workspaces) }
        val unused = Target(UNUSED, ServiceName("t"), "unused:1", DataCentre("x"), 4, draining = false)
        val targets = listOf(NEAR, FAR, unused).associateBy { it.id }
        fixture.gatewayState.targets.update { it.next(targets, 0) }
        val confirmation = WatchConfirmation(0, 0, 0, null)
        val settings = GatewaySettings(NodeId("self"), DataCentre("x"), "self:1", "store:1")
        leave = Leave(dependencies.clock, settings, dependencies.metrics)
        val refusals = KeyRefusals(dependencies.journal, dependencies.metrics)
        val table = fixture.gatewayState.routes::read
        val clock = dependencies.clock
        val keys = CallerKeys(table, { confirmation }, { true }, clock, WorkspaceSettings(), refusals)
        return Explainer(
            ExplainerDependencies(
                self = fixture.self.id,
                targets = dependencies,
                keys = keys,
                leave = leave,
                forwarding = ForwardingView(dependencies, crashes(), origins(), ForwardLimits()),
                batches = batches,
                configuration = { confirmation },
                configurationCurrent = { current },
                targetsConfirmation = { confirmation },
            ),
        )
    }

    /** Fails if a refusal is counted. */
    private fun crashes() =
        object : CrashGuard by CrashGuard.NONE {
            override fun refusedForMillis(content: Lazy<Fingerprint>) = quarantineMillis

            override fun refused(route: String) = error("an explanation was counted")
        }

    /** Fails if a stream is looked up or remembered. */
    private fun origins() =
        object : StreamOrigins by StreamOrigins.NONE {
            override suspend fun find(
                first: RequestId?,
                services: Set<ServiceName>,
            ) = error("an explanation was looked up")

            override fun began(
                request: RequestId,
                target: Target,
                services: Set<ServiceName>,
            ) = error("an explanation was remembered")

            override fun peek(
                first: RequestId?,
                services: Set<ServiceName>,
            ) = origin
        }

    private fun route(
        prefix: String,
        kind: RouteKind,
    ) = fixture.route.copy(
        name = prefix.trim('/'),
        pathPrefix = prefix,
        kind = kind,
        batch = null,
        shares = listOf(ServiceShare(SERVICE, 1)),
    )

    private fun questionOf(
        state: String,
        path: String,
        body: String = "",
    ) = object : ExplainQuestion {
        override val host = "h"
        override val method = if (path.startsWith("/batch") && state != "wrong method") "POST" else "GET"
        override val path = path
        override val keys =
            when (state) {
                "unknown key" -> listOf("Bearer other-$KEY")
                "missing key" -> emptyList()
                else -> listOf("Bearer $KEY")
            }
        override val id = "r"
        override val body = body.toByteArray()
        override val resume = StreamResume(3, RequestId("first")).takeIf { state.startsWith("resumed") }
        override val deadlineMillis = if (state == "no time") 0L else null
        override val aboutBatch = path.startsWith("/api/")

        override fun malformed(route: Route) = "malformed as told".takeIf { state == "malformed" }

        override fun batch(granted: KeyAccess.Granted): Result<BatchRecord, RequestRefusal> =
            Ok(fixture.record("b", 2).copy(workspace = granted.workspace))
    }

    private companion object {
        private const val KEY = "secret-of-one"

        /** So late after the request to stop that a response might not end in time. */
        private const val LATE_MILLIS = 7_000L
        private val SERVICE = ServiceName("s")
        private val UNUSED = TargetId("unused")
        private val NEAR = target("near", "x", "v1")
        private val FAR = target("far", "y", "v2")

        private fun target(
            id: String,
            dataCentre: String,
            version: String,
        ) = Target(
            TargetId(id),
            SERVICE,
            "$id:1",
            DataCentre(dataCentre),
            slots = 4,
            draining = false,
            softwareVersion = SoftwareVersion(version),
        )
    }
}
