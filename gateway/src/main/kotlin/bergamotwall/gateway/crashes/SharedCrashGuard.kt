package bergamotwall.gateway.crashes

import bergamotwall.decisions.crashes.CrashLimits
import bergamotwall.decisions.crashes.CrashQuarantine
import bergamotwall.decisions.crashes.InterruptionKey
import bergamotwall.decisions.ownerOf
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.Write
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.gateway.store.decodeDocument
import bergamotwall.gateway.targets.Target
import bergamotwall.model.Fingerprint
import bergamotwall.model.Jsons
import bergamotwall.model.TargetId
import bergamotwall.runtime.AtomicSnapshot
import bergamotwall.runtime.Decision
import bergamotwall.runtime.launchSupervised
import com.github.michaelbull.result.fold
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.Logger
import java.util.concurrent.ConcurrentHashMap

/**
 * [CrashGuard] that shares interrupted runs with all processes through the key-value service, where they also outlast
 * restarts. Most interrupted requests complete at another target at once, so a first interruption is shared only after
 * [SHARE_DELAY_MILLIS].
 */
internal class SharedCrashGuard(
    private val dependencies: CrashGuardDependencies,
    limits: CrashLimits,
) : CrashGuard {
    private val clock = dependencies.targets.clock
    private val journal = dependencies.targets.journal
    private val gatewayState = dependencies.targets.gatewayState
    private val metrics = dependencies.targets.metrics
    private val interruptedRuns =
        metrics.counter("interrupted_runs", "Runs whose target ended the connection before its response.", "route")
    private val quarantinedRequests =
        metrics.counter("quarantined_requests", "Requests refused because their content crashed targets.", "route")
    private val quarantine = AtomicSnapshot(CrashQuarantine(limits))
    private val details = ConcurrentHashMap<InterruptionKey, StoredInterruption>()
    private val wake = Channel<Unit>(Channel.CONFLATED)

    init {
        metrics.gauge("suspected_contents", "Contents of requests that targets crashed under.") {
            quarantine.read().suspectedContents
        }
        metrics.gauge("quarantined_contents", "Contents of requests that are refused.") {
            quarantine.read().refusedContents(clock.monotonicMillis())
        }
    }

    override fun refusedForMillis(content: Lazy<Fingerprint>): Long {
        val current = quarantine.read()
        return if (current.empty) 0 else current.refusedForMillis(content.value, clock.monotonicMillis())
    }

    override fun suspects(content: Lazy<Fingerprint>): Boolean {
        val current = quarantine.read()
        return !current.empty && current.crashedTargets(content.value).isNotEmpty()
    }

    override fun refused(route: String): Unit = quarantinedRequests.labelValues(route).inc()

    override fun interrupted(
        request: InterruptedRequest,
        target: Target,
    ) {
        interruptedRuns.labelValues(request.route).inc()
        val key = InterruptionKey(request.content, target.id)
        val nowMillis = clock.monotonicMillis()
        val next = quarantine.update { it.with { table -> table.interrupted(key, target.startedAtMillis, nowMillis) } }
        // Last, because details without an entry in the table are removed.
        details[key] =
            StoredInterruption(target.startedAtMillis, request.id, request.route, request.path, dependencies.self)
        journal.record(
            Decision(
                subject = "request/${request.id.value}",
                decision = "interrupted",
                rule = "the target ended the connection before its response",
                cause = request.reason,
                inputs =
                "content ${request.content.hex}, target ${target.id.value}, incarnation ${target.startedAtMillis}, " +
                    "after ${request.afterMillis} ms, crashes ${next.crashedTargets(request.content).size}",
            ),
        )
        wake.trySend(Unit)
    }

    override fun completed(content: Lazy<Fingerprint>) {
        if (!suspects(content)) return
        quarantine.update { it.with { table -> table.completed(content.value) } }
        recordChange(content.value, "cleared", "a run completed")
        wake.trySend(Unit)
    }

    /** Applies the interruptions among the [entries] that all processes watch. */
    fun onStoreChanged(entries: Map<String, KeyValueEntry>) {
        val stored = HashMap<InterruptionKey, Long?>()
        entries.values.filter { it.key.startsWith(GatewayKeys.CRASHES) }.forEach { entry ->
            val key = GatewayKeys.interruptionKeyOf(entry.key)
            val value = decodeDocument(StoredInterruption.serializer(), entry)
            if (key != null && value != null) stored[key] = value.targetStartedAtMillis
        }
        val nowMillis = clock.monotonicMillis()
        val before = quarantine.read()
        val after = quarantine.update { it.with { table -> table.stored(stored, nowMillis) } }
        stored.keys.map { it.content }.toSet().forEach { content ->
            val crashes = after.crashedTargets(content).size
            if (crashes > before.crashedTargets(content).size) {
                recordChange(content, "$crashes crashes", "shared by all processes")
            }
        }
        if (after.table.entries.isNotEmpty()) wake.trySend(Unit)
    }

    /** Starts to share interruptions and to review them in [scope]. */
    fun start(scope: CoroutineScope): Job =
        scope.launchSupervised("crashes") {
            while (true) {
                val idle = quarantine.read().table.entries.isEmpty()
                if (idle) wake.receive() else withTimeoutOrNull(PERIOD_MILLIS) { wake.receive() }
                step()
            }
        }

    /** Reviews the interruptions, and writes to the key-value service what other processes need to know. */
    suspend fun step() {
        val nowMillis = clock.monotonicMillis()
        val confirmedAtMillis = dependencies.targetsConfirmedAtMillis()
        val targets = gatewayState.targets.read().targets
        val running = { id: TargetId, startedAtMillis: Long? ->
            targets[id]?.let { it.startedAtMillis == startedAtMillis } ?: false
        }
        val current =
            quarantine.update { state ->
                state.with { it.swept(state.limits, running, confirmedAtMillis, nowMillis) }
            }
        details.keys.removeIf { it !in quarantine.read().table.entries }
        val members = gatewayState.members.read().members.keys
        val shared = current.toShare(nowMillis - SHARE_DELAY_MILLIS).filter { details.containsKey(it) }.take(MAX_WRITES)
        val withdrawn =
            current.table
                .toWithdraw { ownerOf(GatewayKeys.interruption(it), members) == dependencies.self }
                .take(MAX_WRITES - shared.size)
        if (shared.isNotEmpty() || withdrawn.isNotEmpty()) write(shared, withdrawn)
    }

    private suspend fun write(
        shared: List<InterruptionKey>,
        withdrawn: List<InterruptionKey>,
    ) {
        val puts =
            shared.mapNotNull { key ->
                details[key]?.let { detail ->
                    val text = Jsons.wire.encodeToString(StoredInterruption.serializer(), detail)
                    Write.Put(GatewayKeys.interruption(key), text)
                }
            }
        val deletes = withdrawn.map { Write.Delete(GatewayKeys.interruption(it)) }
        // Repeated after an unknown outcome: both kinds of writes are idempotent.
        dependencies.store.commit(Transaction(emptyList(), puts + deletes)).fold(
            success = {
                quarantine.update { it.with { table -> table.written(shared).withdrawn(withdrawn) } }
                (shared + withdrawn).forEach { details.remove(it) }
            },
            failure = { Logger.warn("event=crashes_not_shared count={} cause=\"{}\"", puts.size, it.detail) },
        )
    }

    private fun recordChange(
        content: Fingerprint,
        decision: String,
        rule: String,
    ) {
        val current = quarantine.read()
        val refusedMillis = current.refusedForMillis(content, clock.monotonicMillis())
        val targets = current.crashedTargets(content).joinToString(",") { it.value }
        val inputs = "targets $targets, refused for $refusedMillis ms"
        journal.record(Decision("content/${content.hex}", decision, rule, "", inputs))
    }

    private companion object {
        private const val SHARE_DELAY_MILLIS = 100L

        /** Time between two reviews while an interruption is known. */
        private const val PERIOD_MILLIS = 250L

        /** Maximum number of writes in a transaction of the platform's store. */
        private const val MAX_WRITES = 32
    }
}
