package bergamotwall.entry

import bergamotwall.decisions.placement.DispatchEvent
import bergamotwall.decisions.placement.DispatchTarget
import bergamotwall.model.DispatchRequest
import bergamotwall.model.Done
import bergamotwall.model.MemberState
import bergamotwall.model.PeerMessage
import bergamotwall.model.PeerRefusal
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.RunFinished
import bergamotwall.model.ShardStatus
import bergamotwall.model.WithdrawRequest
import bergamotwall.runtime.Node
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/** Runs the dispatch shards of this entry: updates them from the fleet view and from the reports of their targets. */
internal class DispatchCoordinator(
    private val node: Node,
    private val fleet: FleetView,
    private val poller: ReportPoller,
) {
    private val shards = ConcurrentHashMap<String, DispatchShard>()
    private val lastTargets = ConcurrentHashMap<String, List<DispatchTarget>>()

    fun start() {
        node.scope.launch {
            while (true) {
                refresh()
                delay(REFRESH_MILLIS)
            }
        }
        node.scope.launch {
            while (true) {
                owned().forEach { (name, targets) -> poller.poll(shard(name), targets) }
                delay(REPORT_MILLIS)
            }
        }
    }

    suspend fun dispatch(request: DispatchRequest): PeerMessage {
        val name = fleet.shardFor(request.serves, request.prefix) ?: return noTargetServes(request)
        return shard(name).dispatch(request)
    }

    suspend fun withdraw(message: WithdrawRequest): PeerMessage {
        shards.values.forEach { it.handle(DispatchEvent.Withdrawn(message.request)) }
        return Done
    }

    suspend fun finished(message: RunFinished): PeerMessage {
        val affected = shards.filterKeys { it.substringBeforeLast('#') == message.serves }
        affected.values.forEach { it.handle(DispatchEvent.RunEnded(message)) }
        return Done
    }

    suspend fun status(): List<ShardStatus> =
        owned().map { (name, targets) ->
            val load = shard(name).load()
            ShardStatus(name, targets.size, load.queued, load.running, load.capacity, load.reserved)
        }

    private fun owned(): Map<String, List<DispatchTarget>> =
        fleet.shards().filterKeys { fleet.owner(it)?.id == node.settings.id }

    private suspend fun refresh() {
        fleet.shards().filterKeys {
            shards.containsKey(it) || fleet.owner(it)?.id == node.settings.id
        }.forEach { (name, targets) ->
            val shard = shard(name)
            if (lastTargets.put(name, targets) != targets) shard.handle(DispatchEvent.TargetsChanged(targets))
        }
        val dead = node.fleetState.members.read().filter { it.state == MemberState.DEAD }
        shards.values.forEach { shard ->
            dead.forEach { shard.handle(DispatchEvent.RequesterLost(it.id)) }
            shard.handle(DispatchEvent.Tick)
            shareCrashRecords(shard)
        }
    }

    /** Exchanges crash records between [shard] and the fleet state, from where gossip spreads them to other nodes. */
    private suspend fun shareCrashRecords(shard: DispatchShard) {
        val received = node.fleetState.crashes.read().filter { it.expiresAtMillis > node.clock.wallMillis() }
        val known = received.map { it.fingerprint to it.targets }.toSet()
        val new = shard.exchangeCrashRecords(received).filter { (it.fingerprint to it.targets) !in known }
        if (new.isNotEmpty()) {
            node.fleetState.crashes.update { (new + it).distinctBy { c -> c.fingerprint to c.targets } }
        }
    }

    private suspend fun shard(name: String): DispatchShard {
        shards[name]?.let { return it }
        val created = DispatchShard(name, ::weightOf, Random(node.random.nextLong()), node.clock, node.journal)
        val shard = shards.putIfAbsent(name, created) ?: created
        fleet.shards()[name]?.let { targets ->
            shard.handle(DispatchEvent.TargetsChanged(targets))
            poller.poll(shard, targets)
        }
        return shard
    }

    private fun weightOf(flow: String): Int =
        node.fleetState.configuration
            .read()
            .intents
            .firstNotNullOfOrNull { intent -> intent.trainers.find { it.name.value == flow } }
            ?.shareWeight ?: 1

    private companion object {
        private const val REFRESH_MILLIS = 100L
        private const val REPORT_MILLIS = 300L
    }
}

private const val RETRY_AFTER_MILLIS = 1_000L

private fun noTargetServes(request: DispatchRequest): PeerMessage =
    PeerRefusal(
        Problem(ProblemKind.UNAVAILABLE, "no target serves ${request.serves}", retryAfterMillis = RETRY_AFTER_MILLIS),
    )
