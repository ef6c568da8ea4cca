package bergamotwall.runtime

import bergamotwall.decisions.Membership
import bergamotwall.decisions.MembershipAction
import bergamotwall.decisions.MembershipTiming
import bergamotwall.model.Documents
import bergamotwall.model.Gossip
import bergamotwall.model.IndirectProbe
import bergamotwall.model.Member
import bergamotwall.model.PeerMessage
import bergamotwall.model.PeerRefusal
import bergamotwall.model.Probe
import bergamotwall.model.ProbeAck
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.PullDocuments
import bergamotwall.model.VmRole
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
    private val membership =
        Membership(self, MembershipTiming(periodMillis * SUSPICION_PERIODS, FORGET_MILLIS), random)
    private val gossiper = Gossiper(membership, parts)
    private var stopping = false

    /** Starts probing in [scope]. */
    public fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                val probes = withContext(confined) { tick() }
                probes.forEach { launch { probe(it.peerAddress) } }
                delay(periodMillis)
            }
        }
    }

    /** Announces that this process takes no new work, to those it probes next. */
    public suspend fun leave(): Unit =
        withContext(confined) {
            stopping = true
            membership.self.leave()
            gossiper.publish()
        }

    /** Answers a probe. */
    public suspend fun answer(probe: Probe): PeerMessage =
        withContext(confined) {
            val newcomer = !membership.knows(probe.from.id)
            gossiper.learn(probe.from, probe.gossip)
            val news = gossiper.news()
            ProbeAck(membership.self.member, if (newcomer) news.copy(members = membership.view()) else news)
        }

    /** Probes on behalf of another. */
    public suspend fun answer(probe: IndirectProbe): PeerMessage {
        val message = withContext(confined) { Probe(membership.self.member, Gossip()) }
        return parts.peers
            .ask(probe.target.peerAddress, message, periodMillis)
            .getOrElse { PeerRefusal(Problem(ProblemKind.UNAVAILABLE, it.detail)) }
    }

    private fun tick(): List<MembershipAction.Probe> {
        val nodes = parts.board.vmList.read().vms.filter { it.role == VmRole.NODE && !it.leaving }
        membership.seed(seeds + nodes.map { it.address })
        val drained = parts.board.configuration.read().drains(membership.self.member.id.value)
        if (drained || stopping) membership.self.leave() else membership.self.rejoin()
        val actions = membership.tick(parts.clock.monotonicMillis())
        gossiper.publish()
        return actions.filterIsInstance<MembershipAction.Probe>()
    }

    private suspend fun probe(peerAddress: String) {
        val message = withContext(confined) { Probe(membership.self.member, gossiper.news()) }
        val answer = parts.peers.ask(peerAddress, message, periodMillis).get()
        if (answer is ProbeAck) acknowledged(answer, peerAddress) else probeIndirectly(peerAddress)
    }

    private suspend fun probeIndirectly(peerAddress: String) {
        val through =
            withContext(confined) { membership.directProbeFailed(peerAddress) }
                .filterIsInstance<MembershipAction.ProbeThrough>()
        val answers = coroutineScope { through.map { async { askThrough(it) } }.awaitAll() }
        val reached = answers.filterIsInstance<ProbeAck>().firstOrNull()
        withContext(confined) {
            if (reached == null) {
                membership.unreachable(peerAddress, parts.clock.monotonicMillis())
                gossiper.publish()
            } else {
                gossiper.learn(reached.from, reached.gossip)
            }
        }
    }

    private suspend fun askThrough(action: MembershipAction.ProbeThrough): PeerMessage? {
        val message = IndirectProbe(withContext(confined) { membership.self.member }, action.target)
        return parts.peers.ask(action.via.peerAddress, message, periodMillis * 2).get()
    }

    private suspend fun acknowledged(
        ack: ProbeAck,
        peerAddress: String,
    ) {
        withContext(confined) { gossiper.learn(ack.from, ack.gossip) }
        val configuration = parts.board.configuration.read().revision
        val vmList = parts.board.vmList.read().revision
        if (ack.gossip.configuration <= configuration && ack.gossip.vmList <= vmList) return
        val pull = PullDocuments(configuration, vmList)
        val documents = parts.peers.ask(peerAddress, pull, PULL_TIMEOUT_MILLIS).get() as? Documents ?: return
        documents.configuration?.let { parts.keeper.offer(it, "pulled from ${ack.from.id.value}") }
        documents.vmList?.let { parts.keeper.offer(it, "pulled from ${ack.from.id.value}") }
    }

    private companion object {
        private const val SUSPICION_PERIODS = 4L
        private const val FORGET_MILLIS = 600_000L
        private const val PULL_TIMEOUT_MILLIS = 2_000L
    }
}
