package bergamotwall.gateway.limits

import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.Write
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.gateway.store.decodeDocument
import bergamotwall.gateway.targets.TargetDependencies
import bergamotwall.model.Jsons
import bergamotwall.model.TargetId
import bergamotwall.runtime.launchSupervised
import com.github.michaelbull.result.fold
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import org.tinylog.Logger
import java.util.concurrent.ConcurrentHashMap
import kotlin.math.abs

/**
 * Shares the request limits that targets name with all processes through the key-value service, also with those that
 * send nothing to the target, because they have no part of its limit.
 */
public class LimitPublisher(
    private val store: KeyValueStore,
    private val dependencies: TargetDependencies,
) {
    /** Limits in the key-value service, in requests a second. */
    private val shared = ConcurrentHashMap<TargetId, Double>()
    private val missingSinceMillis = HashMap<TargetId, Long>()

    /** Applies the limits among the [entries] that all processes watch. */
    public fun onStoreChanged(entries: Map<String, KeyValueEntry>) {
        val current = HashMap<TargetId, Double>()
        entries.values.filter { it.key.startsWith(GatewayKeys.LIMITS) }.forEach { entry ->
            decodeDocument(
                SharedLimit.serializer(),
                entry
            )?.let { current[TargetId(entry.key.removePrefix(GatewayKeys.LIMITS))] = it.perSecond }
        }
        val changed = (current.keys + shared.keys).filter { current[it] != shared[it] }
        shared.putAll(current)
        shared.keys.retainAll(current.keys)
        val nowMillis = dependencies.clock.monotonicMillis()
        changed.forEach { dependencies.limits.shared(it, current[it], nowMillis) }
    }

    /** Starts to publish in [scope]. */
    public fun start(scope: CoroutineScope): Job =
        scope.launchSupervised("limits") {
            while (true) {
                // Random, so that one of the processes that learn of a limit at the same time publishes it first.
                delay(dependencies.random.nextLong(MIN_PERIOD_MILLIS, MAX_PERIOD_MILLIS))
                publish()
            }
        }

    /** Writes the limits that differ from those in the key-value service, and deletes those that ended. */
    public suspend fun publish() {
        val known = dependencies.gatewayState.targets.read().targets.keys
        applyShared(known)
        val puts =
            dependencies.loads
                .limits()
                .filter { (id, perSecond) -> id in known && differs(shared[id], perSecond) }
                .map { (id, perSecond) ->
                    val text = Jsons.wire.encodeToString(SharedLimit.serializer(), SharedLimit(perSecond))
                    Write.Put(GatewayKeys.limit(id), text)
                }
        val ended = shared.keys.filter { it in known && dependencies.loads.of(it).limit.ended }
        val deletes = (ended + orphaned(known)).map { Write.Delete(GatewayKeys.limit(it)) }
        if (puts.isEmpty() && deletes.isEmpty()) return
        // Repeated after an unknown outcome: both kinds of writes are idempotent.
        store.commit(Transaction(emptyList(), (puts + deletes).take(MAX_WRITES))).fold(
            success = { delay(VISIBLE_MILLIS) },
            failure = { Logger.warn("event=limits_not_shared cause=\"{}\"", it.detail) },
        )
    }

    /** Applies shared limits to targets that were registered only after these were read. */
    private fun applyShared(known: Set<TargetId>) {
        val nowMillis = dependencies.clock.monotonicMillis()
        shared.filterKeys { it in known }.forEach { (id, perSecond) ->
            val limit = dependencies.loads.of(id).limit
            if (limit.perSecond == null && !limit.ended) dependencies.limits.shared(id, perSecond, nowMillis)
        }
    }

    /** Targets with a shared limit that have not been registered for some time. */
    private fun orphaned(known: Set<TargetId>): List<TargetId> {
        val nowMillis = dependencies.clock.monotonicMillis()
        val missing = shared.keys - known
        missingSinceMillis.keys.retainAll(missing)
        missing.forEach { missingSinceMillis.putIfAbsent(it, nowMillis) }
        return missing.filter { nowMillis - missingSinceMillis.getValue(it) >= ORPHANED_MILLIS }
    }

    private fun differs(
        published: Double?,
        perSecond: Double,
    ): Boolean = published == null || abs(published - perSecond) > published * TOLERANCE

    private companion object {
        private const val MIN_PERIOD_MILLIS = 50L
        private const val MAX_PERIOD_MILLIS = 250L

        /** Time after which this process has usually seen its own write. */
        private const val VISIBLE_MILLIS = 250L

        /** Maximum number of writes in a transaction of the platform's store. */
        private const val MAX_WRITES = 32

        /** Longer than a process takes to learn that a target has registered. */
        private const val ORPHANED_MILLIS = 10_000L

        /** Relative difference that is not worth a write. */
        private const val TOLERANCE = 0.1
    }
}
