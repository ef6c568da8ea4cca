package bergamotwall.entry

import bergamotwall.decisions.DispatchEvent
import bergamotwall.decisions.DispatchTarget
import bergamotwall.model.Done
import bergamotwall.model.Finished
import bergamotwall.model.MemberState
import bergamotwall.model.Offer
import bergamotwall.model.PeerMessage
import bergamotwall.model.PeerRefusal
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.ShardStatus
import bergamotwall.model.Withdraw
import bergamotwall.runtime.Node
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/** The dispatch shards of this entry: kept in step with the fleet view, fed with the targets' reports. */
internal class DispatchHub(
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

    suspend fun offer(offer: Offer): PeerMessage {
        val name = fleet.shardFor(offer.serves, offer.prefix) ?: return nothingServes(offer)
        return shard(name).offer(offer)
    }

    suspend fun withdraw(message: Withdraw): PeerMessage {
        shards.values.forEach { it.tell(DispatchEvent.Withdrawn(message.request)) }
        return Done
    }

    suspend fun finished(message: Finished): PeerMessage {
        val concerned = shards.filterKeys { it.substringBeforeLast('#') == message.serves }
        concerned.values.forEach { it.tell(DispatchEvent.Returned(message)) }
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
            if (lastTargets.put(name, targets) != targets) shard.tell(DispatchEvent.Listed(targets))
        }
        val dead = node.board.members.read().filter { it.state == MemberState.DEAD }
        shards.values.forEach { shard ->
            dead.forEach { shard.tell(DispatchEvent.RequesterLost(it.id)) }
            shard.tell(DispatchEvent.Tick)
            spreadCrashes(shard)
        }
    }

    private suspend fun spreadCrashes(shard: DispatchShard) {
        val heard = node.board.crashes.read().filter { it.expiresAtMillis > node.clock.wallMillis() }
        val known = heard.map { it.fingerprint to it.targets }.toSet()
        val news = shard.exchangeCrashes(heard).filter { (it.fingerprint to it.targets) !in known }
        if (news.isNotEmpty()) node.board.crashes.update { (news + it).distinctBy { c -> c.fingerprint to c.targets } }
    }

    private suspend fun shard(name: String): DispatchShard {
        shards[name]?.let { return it }
        val made = DispatchShard(name, ::weightOf, Random(node.random.nextLong()), node.clock, node.journal)
        val shard = shards.putIfAbsent(name, made) ?: made
        fleet.shards()[name]?.let { targets ->
            shard.tell(DispatchEvent.Listed(targets))
            poller.poll(shard, targets)
        }
        return shard
    }

    private fun weightOf(flow: String): Int =
        node.board.configuration
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

private fun nothingServes(offer: Offer): PeerMessage =
    PeerRefusal(
        Problem(ProblemKind.UNAVAILABLE, "no target serves ${offer.serves}", retryAfterMillis = RETRY_AFTER_MILLIS),
    )
