package bergamotwall.decisions.placement

import bergamotwall.decisions.crashes.CrashSuspicion
import bergamotwall.model.NodeId
import bergamotwall.model.PriorityClass
import bergamotwall.model.ProblemKind
import bergamotwall.model.RequestId
import bergamotwall.model.RunOutcome
import bergamotwall.model.TargetId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.doesNotContain
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo

internal class DispatcherTest {
    private fun case(
        name: String,
        block: () -> Unit,
    ): DynamicTest = dynamicTest(name, block)

    @TestFactory
    fun `isolation of application work`(): List<DynamicTest> =
        listOf(
            case("an application request does not wait when training saturates the targets") {
                val fixture = DispatchFixture(targets = 2)
                repeat(50) { fixture.submit("s$it") }
                fixture.submit("app", PriorityClass.APPLICATION)
                expectThat(fixture.grants.keys).contains("app")
            },
            case("application goes first when both wait") {
                val fixture = DispatchFixture(targets = 1, slots = 1)
                fixture.submit("running", PriorityClass.APPLICATION)
                fixture.submit("sample")
                fixture.submit("app", PriorityClass.APPLICATION)
                fixture.finish("running")
                expectThat(fixture.grants.keys.last()).isEqualTo("app")
            },
            case("headroom grows with application demand") {
                val fixture = DispatchFixture(targets = 4)
                val before = fixture.load().reserved
                repeat(200) { i ->
                    fixture.submit("a$i", PriorityClass.APPLICATION)
                    if (i >= 6) fixture.finish("a${i - 6}")
                }
                expectThat(fixture.load().reserved).isGreaterThan(before)
            },
            case("training goes before background") {
                val fixture = DispatchFixture(targets = 1, slots = 2)
                fixture.submit("first")
                fixture.submit("background", PriorityClass.BACKGROUND)
                fixture.submit("second")
                fixture.finish("first")
                expectThat(fixture.grants.keys.toList()).containsExactly("first", "second")
            },
        )

    @TestFactory
    fun `fair shares and order`(): List<DynamicTest> =
        listOf(
            case("trainers share by weight") {
                val fixture = DispatchFixture(targets = 1, slots = 2, weights = mapOf("heavy" to 3, "light" to 1))
                repeat(40) {
                    fixture.submit("heavy$it", flow = "heavy")
                    fixture.submit("light$it", flow = "light")
                }
                repeat(19) { fixture.finish(fixture.grants.keys.elementAt(it)) }
                val heavy = fixture.grants.keys.count { it.startsWith("heavy") }
                expectThat(heavy).isGreaterThanOrEqualTo(13).isLessThanOrEqualTo(17)
            },
            case("the earlier training step of a trainer goes first") {
                val fixture = DispatchFixture(targets = 1, slots = 2)
                fixture.submit("running")
                fixture.submit("next step", sequence = 2)
                fixture.submit("this step", sequence = 1)
                fixture.finish("running")
                expectThat(fixture.grants.keys.last()).isEqualTo("this step")
            },
        )

    @TestFactory
    fun `targets that may not get work`(): List<DynamicTest> =
        listOf(
            case("a stopping target gets no new requests and keeps running ones") {
                val fixture = DispatchFixture(targets = 2)
                fixture.submit("before")
                fixture.list(stopping = setOf("t0", "t1"))
                fixture.submit("after")
                expectThat(fixture.grants.keys).containsExactly("before")
                fixture.list(stopping = setOf("t0"))
                expectThat(fixture.grants["after"]).isEqualTo(TargetId("t1"))
            },
            case("a target that refuses connections gets no requests until its next report") {
                val fixture = DispatchFixture(targets = 1)
                fixture.submit("a")
                fixture.finish("a", RunOutcome.NOT_STARTED)
                fixture.submit("b")
                expectThat(fixture.grants.keys).doesNotContain("b")
                fixture.report("t0")
                expectThat(fixture.grants.keys).contains("b")
            },
            case("a swapping target gets no requests") {
                val fixture = DispatchFixture(targets = 1)
                fixture.report("t0", swapping = true)
                fixture.submit("a")
                expectThat(fixture.grants.keys).isEmpty()
            },
            case("a target with a version below the minimum gets no requests") {
                val fixture = DispatchFixture(targets = 2)
                fixture.report("t1", version = 5)
                fixture.submit("a", minVersion = 4)
                expectThat(fixture.grants["a"]).isEqualTo(TargetId("t1"))
            },
            case("the target that just failed is avoided while another is usable") {
                val fixture = DispatchFixture(targets = 2)
                fixture.submit("a", excluded = setOf("t0"))
                expectThat(fixture.grants["a"]).isEqualTo(TargetId("t1"))
            },
        )

    @TestFactory
    fun `requests that cannot run are refused at once`(): List<DynamicTest> =
        listOf(
            case("no target serves the request") {
                val fixture = DispatchFixture(targets = 0)
                fixture.submit("a")
                expectThat(fixture.refusals["a"]).isEqualTo(ProblemKind.UNAVAILABLE)
            },
            case("the queue is longer than the deadline") {
                val fixture = DispatchFixture(targets = 1, slots = 1)
                fixture.submit("first", PriorityClass.APPLICATION)
                fixture.finish("first", durationMillis = 10_000)
                repeat(5) { fixture.submit("q$it", PriorityClass.APPLICATION) }
                fixture.submit("late", PriorityClass.APPLICATION, deadlineMillis = 1_000)
                expectThat(fixture.refusals["late"]).isEqualTo(ProblemKind.OVERLOADED)
            },
            case("the deadline passes in the queue") {
                val fixture = DispatchFixture(targets = 1, slots = 1)
                fixture.submit("running", PriorityClass.APPLICATION)
                fixture.submit("waiting", deadlineMillis = 500)
                fixture.nowMillis += 501
                fixture.handle(DispatchEvent.Tick)
                expectThat(fixture.refusals["waiting"]).isEqualTo(ProblemKind.DEADLINE)
                expectThat(fixture.grants.keys).doesNotContain("waiting")
            },
            case("overload sheds the lowest class first") {
                val fixture = DispatchFixture(targets = 1, slots = 1, limits = DispatchLimits(maxQueued = 2))
                fixture.submit("running", PriorityClass.APPLICATION)
                fixture.submit("b", PriorityClass.BACKGROUND)
                fixture.submit("t", PriorityClass.TRAINING)
                fixture.submit("a", PriorityClass.APPLICATION)
                fixture.submit("late", PriorityClass.BACKGROUND)
                expectThat(fixture.refusals.keys.toList()).containsExactly("b", "late")
            },
        )

    @TestFactory
    fun `lost responses and lost requesters`(): List<DynamicTest> =
        listOf(
            case("a repeated request gets the same permit") {
                val fixture = DispatchFixture(targets = 2)
                fixture.submit("a")
                val first = fixture.grants["a"]
                fixture.submit("a")
                expectThat(fixture.grants["a"]).isEqualTo(first)
                expectThat(fixture.load().running).isEqualTo(1)
            },
            case("a dead requester's permits are released") {
                val fixture = DispatchFixture(targets = 1, slots = 2)
                repeat(4) { fixture.submit("a$it", PriorityClass.APPLICATION) }
                fixture.handle(DispatchEvent.RequesterLost(NodeId("n")))
                expectThat(fixture.load().running).isEqualTo(0)
                expectThat(fixture.load().queued).isEqualTo(0)
            },
            case("a withdrawn permit frees its slot for the next request") {
                val fixture = DispatchFixture(targets = 1, slots = 1)
                fixture.submit("a", PriorityClass.APPLICATION)
                fixture.submit("b", PriorityClass.APPLICATION)
                fixture.handle(DispatchEvent.Withdrawn(RequestId("a")))
                expectThat(fixture.grants.keys).contains("b")
            },
            case("a permit without an outcome expires") {
                val fixture = DispatchFixture(targets = 1, slots = 1)
                fixture.submit("a", PriorityClass.APPLICATION, deadlineMillis = 100)
                fixture.nowMillis += 20_000
                fixture.handle(DispatchEvent.Tick)
                expectThat(fixture.load().running).isEqualTo(0)
            },
            case("running requests of an earlier owner of the shard, as reported, take slots") {
                val fixture = DispatchFixture(targets = 1, slots = 4)
                fixture.report("t0", running = 4)
                fixture.submit("a", PriorityClass.APPLICATION)
                expectThat(fixture.grants.keys).isEmpty()
            },
        )

    @TestFactory
    fun `crashing requests`(): List<DynamicTest> =
        listOf(
            case("content that crashes its targets crashes two at most, then it is refused under any request id") {
                val fixture = DispatchFixture(targets = 6)
                val crashed = HashSet<TargetId>()
                repeat(10) { i ->
                    fixture.submit("poison$i", content = 99)
                    fixture.grants["poison$i"]?.let { target ->
                        crashed += target
                        fixture.finish("poison$i", RunOutcome.BROKEN)
                        fixture.report(target.value, bootId = "restart$i")
                    }
                }
                expectThat(crashed).hasSize(CrashSuspicion.MAX_TARGETS)
                expectThat(fixture.refusals.values.toSet()).containsExactly(ProblemKind.QUARANTINED)
            },
            case("equal, unproven prompts of a group run on two targets at most") {
                val fixture = DispatchFixture(targets = 6)
                repeat(12) { fixture.submit("g$it", content = 7) }
                expectThat(fixture.grants.values.toSet()).hasSize(2)
                fixture.finish(fixture.grants.keys.first())
                repeat(12) { fixture.submit("h$it", content = 7) }
                expectThat(fixture.grants.values.toSet().size).isGreaterThan(2)
            },
            case("requests that merely ran beside a crashing one are served") {
                val fixture = DispatchFixture(targets = 3, slots = 8)
                fixture.submit("poison", content = 99)
                val target = fixture.grants.getValue("poison")
                fixture.list(stopping = setOf("t0", "t1", "t2") - target.value)
                repeat(4) { fixture.submit("neighbour$it", content = 100L + it) }
                fixture.list()
                (listOf("poison") + List(4) { "neighbour$it" }).forEach { fixture.finish(it, RunOutcome.BROKEN) }
                fixture.report(target.value, bootId = "again")
                fixture.submit("poison again", content = 99)
                repeat(4) { fixture.submit("again$it", content = 100L + it) }
                fixture.grants["poison again"]?.let { fixture.finish("poison again", RunOutcome.BROKEN) }
                repeat(4) { i -> fixture.grants["again$i"]?.let { fixture.finish("again$i") } }
                repeat(4) { i -> fixture.submit("third$i", content = 100L + i) }
                expectThat(fixture.refusals.values.toList()).isEmpty()
            },
            case("a broken connection to a target that is alive raises no suspicion") {
                val fixture = DispatchFixture(targets = 2)
                repeat(5) { i ->
                    fixture.submit("a$i", content = 5)
                    val target = fixture.grants.getValue("a$i")
                    fixture.finish("a$i", RunOutcome.BROKEN)
                    fixture.report(target.value)
                }
                expectThat(fixture.refusals.values.toList()).isEmpty()
            },
        )

    @TestFactory
    fun `items under which targets crashed`(): List<DynamicTest> =
        listOf(
            case("an item of a batch is placed again after a burst of crashes under it") {
                val fixture = DispatchFixture(targets = 6)
                repeat(5) { i ->
                    fixture.submit("item$i", content = 99, fromBatch = true)
                    val target = fixture.grants.getValue("item$i")
                    fixture.finish("item$i", RunOutcome.BROKEN)
                    fixture.report(target.value, bootId = "restart$i")
                    fixture.nowMillis += 400
                }
                fixture.nowMillis += 10_000
                fixture.submit("owed", content = 99, fromBatch = true)
                expectThat(fixture.grants.keys).contains("owed")
                expectThat(fixture.refusals.values.toList()).isEmpty()
            },
            case("an item of a batch is placed although a caller's request with its content is quarantined") {
                val fixture = DispatchFixture(targets = 6)
                repeat(2) { i ->
                    fixture.submit("poison$i", content = 99)
                    fixture.finish("poison$i", RunOutcome.BROKEN)
                    fixture.report(fixture.grants.getValue("poison$i").value, bootId = "restart$i")
                }
                fixture.submit("again", content = 99)
                fixture.submit("owed", content = 99, fromBatch = true)
                expectThat(fixture.refusals.keys).containsExactly("again")
                expectThat(fixture.grants.keys).contains("owed")
            },
        )

    @TestFactory
    fun `choice of the replica`(): List<DynamicTest> =
        listOf(
            case("requests with equal prefixes go to the target that has the prefix cached") {
                val fixture = DispatchFixture(targets = 4, slots = 16)
                fixture.submit("first", content = 3)
                fixture.finish("first")
                repeat(4) { fixture.submit("p$it", content = 3) }
                expectThat(fixture.grants.values.toSet()).hasSize(1)
            },
            case("a slow replica gets less work before it fails") {
                val fixture = DispatchFixture(targets = 2, slots = 8)
                repeat(200) { i ->
                    fixture.submit("r$i")
                    val slow = fixture.grants["r$i"] == TargetId("t0")
                    fixture.finish("r$i", firstTokenMillis = if (slow) 400 else 20)
                }
                val late = fixture.grants.filterKeys { it.removePrefix("r").toInt() >= 100 }
                expectThat(late.values.count { it == TargetId("t0") }).isLessThanOrEqualTo(25)
            },
            case("no target gets more requests than its window allows") {
                val fixture = DispatchFixture(targets = 3, slots = 4)
                repeat(40) { fixture.submit("a$it", PriorityClass.APPLICATION) }
                expectThat(fixture.grants.values.groupingBy { it }.eachCount().values.max()).isLessThanOrEqualTo(4)
            },
        )
}
