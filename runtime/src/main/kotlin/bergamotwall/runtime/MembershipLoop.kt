package bergamotwall.runtime

import bergamotwall.decisions.membership.Membership
import bergamotwall.decisions.membership.MembershipAction
import bergamotwall.decisions.membership.MembershipTiming
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

/** Runs the membership protocol: probes peers, responds to probes, and pulls documents that are newer at a peer. */
public class MembershipLoop(
    self: Member,
    private val seeds: List<String>,
    private val periodMillis: Long,
    private val dependencies: MembershipLoopDependencies,
    random: Random,
) {
    @OptIn(ExperimentalCoroutinesApi::class)
    private val confinedDispatcher = Dispatchers.Default.limitedParallelism(1)
    private val membership =
        Membership(self, MembershipTiming(periodMillis * SUSPICION_PERIODS, FORGET_MILLIS), random)
    private val gossiper = Gossiper(membership, dependencies)
    private var leaving = false

    /** Starts probing in [scope]. */
    public fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                val probes = withContext(confinedDispatcher) { tick() }
                probes.forEach { launch { probe(it.peerAddress) } }
                delay(periodMillis)
            }
        }
    }

    /** Marks this process as leaving, which means that it takes no new work; the next probes announce it. */
    public suspend fun leave(): Unit =
        withContext(confinedDispatcher) {
            leaving = true
            membership.self.leave()
            gossiper.publishMembers()
        }

    /** Responds to [probe]; a sender that was unknown so far gets all members. */
    public suspend fun handleProbe(probe: Probe): PeerMessage =
        withContext(confinedDispatcher) {
            val unknownSender = !membership.knows(probe.from.id)
            gossiper.receive(probe.from, probe.gossip)
            val gossip = gossiper.outgoing()
            ProbeAck(membership.self.member, if (unknownSender) gossip.copy(members = membership.view()) else gossip)
        }

    /** Probes the target of [probe] on behalf of the sender. */
    public suspend fun handleIndirectProbe(probe: IndirectProbe): PeerMessage {
        val message = withContext(confinedDispatcher) { Probe(membership.self.member, Gossip()) }
        return dependencies.peers
            .sendRequest(probe.target.peerAddress, message, periodMillis)
            .getOrElse { PeerRefusal(Problem(ProblemKind.UNAVAILABLE, it.detail)) }
    }

    private fun tick(): List<MembershipAction.Probe> {
        val nodes = dependencies.fleetState.vmList.read().vms.filter { it.role == VmRole.NODE && !it.leaving }
        membership.seed(seeds + nodes.map { it.address })
        val drained = dependencies.fleetState.configuration.read().drains(membership.self.member.id.value)
        if (drained || leaving) membership.self.leave() else membership.self.rejoin()
        val actions = membership.tick(dependencies.clock.monotonicMillis())
        gossiper.publishMembers()
        return actions.filterIsInstance<MembershipAction.Probe>()
    }

    private suspend fun probe(peerAddress: String) {
        val message = withContext(confinedDispatcher) { Probe(membership.self.member, gossiper.outgoing()) }
        val response = dependencies.peers.sendRequest(peerAddress, message, periodMillis).get()
        if (response is ProbeAck) handleAck(response, peerAddress) else probeIndirectly(peerAddress)
    }

    private suspend fun probeIndirectly(peerAddress: String) {
        val indirectProbes =
            withContext(confinedDispatcher) { membership.directProbeFailed(peerAddress) }
                .filterIsInstance<MembershipAction.ProbeThrough>()
        val responses = coroutineScope { indirectProbes.map { async { probeThrough(it) } }.awaitAll() }
        val firstAck = responses.filterIsInstance<ProbeAck>().firstOrNull()
        withContext(confinedDispatcher) {
            if (firstAck == null) {
                membership.unreachable(peerAddress, dependencies.clock.monotonicMillis())
                gossiper.publishMembers()
            } else {
                gossiper.receive(firstAck.from, firstAck.gossip)
            }
        }
    }

    private suspend fun probeThrough(action: MembershipAction.ProbeThrough): PeerMessage? {
        val message = IndirectProbe(withContext(confinedDispatcher) { membership.self.member }, action.target)
        return dependencies.peers.sendRequest(action.via.peerAddress, message, periodMillis * 2).get()
    }

    /** Applies the gossip of [ack] and pulls the documents that its sender has at a higher revision. */
    private suspend fun handleAck(
        ack: ProbeAck,
        peerAddress: String,
    ) {
        withContext(confinedDispatcher) { gossiper.receive(ack.from, ack.gossip) }
        val configuration = dependencies.fleetState.configuration.read().revision
        val vmList = dependencies.fleetState.vmList.read().revision
        if (ack.gossip.configuration <= configuration && ack.gossip.vmList <= vmList) return
        val pull = PullDocuments(configuration, vmList)
        val documents =
            dependencies.peers.sendRequest(peerAddress, pull, PULL_TIMEOUT_MILLIS).get() as? Documents ?: return
        documents.configuration?.let { dependencies.replicator.adoptIfNewer(it, "pulled from ${ack.from.id.value}") }
        documents.vmList?.let { dependencies.replicator.adoptIfNewer(it, "pulled from ${ack.from.id.value}") }
    }

    private companion object {
        private const val SUSPICION_PERIODS = 4L
        private const val FORGET_MILLIS = 600_000L
        private const val PULL_TIMEOUT_MILLIS = 2_000L
    }
}
