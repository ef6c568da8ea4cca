package bergamotwall.runtime

import bergamotwall.decisions.Membership
import bergamotwall.decisions.MembershipAction
import bergamotwall.decisions.MembershipTiming
import bergamotwall.model.Documents
import bergamotwall.model.Gossip
import bergamotwall.model.IndirectProbe
import bergamotwall.model.Member
import bergamotwall.model.MemberState
import bergamotwall.model.PeerMessage
import bergamotwall.model.PeerRefusal
import bergamotwall.model.Probe
import bergamotwall.model.ProbeAck
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.PullDocuments
import bergamotwall.model.VmRole
import bergamotwall.peers.PeerClient
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlin.random.Random

/** What [MemberLoop] works with. */
public data class MemberLoopParts(
    val board: Blackboard,
    val keeper: DocumentKeeper,
    val journal: Journal,
    val peers: PeerClient,
    val clock: Clock,
)

/** Runs the membership: probes, answers probes, and pulls documents that a peer has at a higher revision. */
public class MemberLoop(
    self: Member,
    private val seeds: List<String>,
    private val periodMillis: Long,
    private val parts: MemberLoopParts,
    random: Random,
) {
    @OptIn(ExperimentalCoroutinesApi::class)
    private val confined = Dispatchers.Default.limitedParallelism(1)
    private val timing = MembershipTiming(periodMillis * SUSPICION_PERIODS, FORGET_MILLIS)
    private val membership = Membership(self, timing, random)

    /** Starts probing in [scope]. */
    public fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                val actions = withContext(confined) { tick() }
                actions.forEach { launch { perform(it) } }
                delay(periodMillis)
            }
        }
    }

    /** Announces that this process takes no new work, to those it probes next. */
    public suspend fun leave(): Unit =
        withContext(confined) {
            membership.leave()
            publish()
        }

    /** Answers a probe. */
    public suspend fun answer(probe: Probe): PeerMessage =
        withContext(confined) {
            val newcomer = !membership.knows(probe.from.id)
            learn(probe.from, probe.gossip)
            val gossip = gossip()
            ProbeAck(membership.self, if (newcomer) gossip.copy(members = membership.view()) else gossip)
        }

    /** Probes on behalf of another. */
    public suspend fun answer(probe: IndirectProbe): PeerMessage {
        val message = withContext(confined) { Probe(membership.self, Gossip()) }
        return parts.peers
            .ask(probe.target.peerAddress, message, periodMillis)
            .getOrElse { PeerRefusal(Problem(ProblemKind.UNAVAILABLE, it.detail)) }
    }

    private fun tick(): List<MembershipAction> {
        val nodes = parts.board.vmList.read().vms.filter { it.role == VmRole.NODE && !it.leaving }
        membership.seed(seeds + nodes.map { it.address })
        val drained = parts.board.configuration.read().drains(membership.self.id.value)
        if (drained) membership.leave()
        return membership.tick(now()).also { publish() }
    }

    private suspend fun perform(action: MembershipAction) {
        when (action) {
            is MembershipAction.Probe -> probe(action.peerAddress)
            is MembershipAction.ProbeThrough -> Unit
        }
    }

    private suspend fun probe(peerAddress: String) {
        val message = withContext(confined) { Probe(membership.self, gossip()) }
        val answer = parts.peers.ask(peerAddress, message, periodMillis).get()
        if (answer is ProbeAck) acknowledged(answer, peerAddress) else probeIndirectly(peerAddress)
    }

    private suspend fun probeIndirectly(peerAddress: String) {
        val actions = withContext(confined) { membership.directProbeFailed(peerAddress) }
        val through = actions.filterIsInstance<MembershipAction.ProbeThrough>()
        val answers =
            coroutineScope {
                through.map { async { askThrough(it) } }.awaitAll()
            }
        val reached = answers.filterIsInstance<ProbeAck>().firstOrNull()
        if (reached == null) {
            withContext(confined) { unreachable(peerAddress) }
        } else {
            withContext(confined) { learn(reached.from, reached.gossip) }
        }
    }

    private suspend fun askThrough(action: MembershipAction.ProbeThrough): PeerMessage? {
        val message = IndirectProbe(withContext(confined) { membership.self }, action.target)
        return parts.peers.ask(action.via.peerAddress, message, periodMillis * 2).get()
    }

    private fun unreachable(peerAddress: String) {
        membership.unreachable(peerAddress, now())
        publish()
    }

    private suspend fun acknowledged(
        ack: ProbeAck,
        peerAddress: String,
    ) {
        withContext(confined) { learn(ack.from, ack.gossip) }
        val configuration = parts.board.configuration.read().revision
        val vmList = parts.board.vmList.read().revision
        if (ack.gossip.configuration <= configuration && ack.gossip.vmList <= vmList) return
        val pull = PullDocuments(configuration, vmList)
        val documents = parts.peers.ask(peerAddress, pull, PULL_TIMEOUT_MILLIS).get() as? Documents ?: return
        documents.configuration?.let { parts.keeper.offer(it, "pulled from ${ack.from.id.value}") }
        documents.vmList?.let { parts.keeper.offer(it, "pulled from ${ack.from.id.value}") }
    }

    private fun learn(
        from: Member,
        gossip: Gossip,
    ) {
        membership.heardFrom(from, now())
        membership.heard(gossip.members, now())
        parts.keeper.offer(gossip.published)
        if (gossip.crashes.isNotEmpty()) {
            parts.board.crashes.update { (gossip.crashes + it).distinctBy { c -> c.fingerprint to c.targets }.take(MAX_CRASHES) }
        }
        publish()
    }

    private fun gossip(): Gossip =
        Gossip(
            members = membership.piggyback(),
            crashes = parts.board.crashes.read().filter { it.expiresAtMillis > parts.clock.wallMillis() }.take(MAX_CRASHES),
            configuration = parts.board.configuration.read().revision,
            vmList = parts.board.vmList.read().revision,
            published = parts.board.published.read().list(),
        )

    private fun publish() {
        val before = parts.board.members.read().associate { it.id to it.state }
        val view = membership.view()
        parts.board.members.update { view }
        view.filter { before[it.id] != it.state }.forEach { report(it, before[it.id]) }
    }

    private fun report(
        member: Member,
        before: MemberState?,
    ) {
        val decision = Decision("member/${member.id.value}", "seen as ${member.state}", "probe or news", "was $before")
        parts.journal.record(decision)
    }

    private fun now(): Long = parts.clock.monotonicMillis()

    private companion object {
        private const val SUSPICION_PERIODS = 4L
        private const val FORGET_MILLIS = 600_000L
        private const val PULL_TIMEOUT_MILLIS = 2_000L
        private const val MAX_CRASHES = 16
    }
}
