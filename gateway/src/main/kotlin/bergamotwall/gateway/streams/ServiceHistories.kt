package bergamotwall.gateway.streams

import bergamotwall.decisions.placement.VersionHistory
import bergamotwall.drivers.Condition
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.Write
import bergamotwall.gateway.routes.RouteKind
import bergamotwall.gateway.store.decodeDocument
import bergamotwall.gateway.targets.Target
import bergamotwall.model.Jsons
import bergamotwall.model.ServiceName
import bergamotwall.model.SoftwareVersion
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.nullable
import kotlinx.serialization.builtins.serializer
import org.tinylog.Logger

/**
 * The version histories of services that serve resumable streams. They are kept in the key-value service, where all
 * processes watch them and any process updates them.
 */
internal class ServiceHistories(
    private val dependencies: StreamOriginDependencies,
    private val settings: StreamSettings,
) {
    /** The [history] at [revision], which this process has known since [seenAtMillis] on the monotonic clock. */
    private class Stored(val history: VersionHistory, val revision: Long, val seenAtMillis: Long)

    @Volatile
    private var watched: Map<ServiceName, Stored> = emptyMap()

    /** Whether streams may have begun at some target of each service that serves resumable streams and has targets. */
    val complete: Boolean
        get() = streamingServices().all { service ->
            val targets = dependencies.gatewayState.targets.read().of(service)
            targets.isEmpty() || targets.any { serves(it) }
        }

    /** Applies the histories among the [entries] that all processes watch. */
    fun onStoreChanged(entries: Map<String, KeyValueEntry>) {
        val histories = HashMap<ServiceName, Stored>()
        entries.values.filter { it.key.startsWith(StreamKeys.HISTORIES) }.forEach { entry ->
            val service = ServiceName(entry.key.removePrefix(StreamKeys.HISTORIES))
            val known = watched[service]?.takeIf { it.revision == entry.modRevision }
            val seenAtMillis = dependencies.clock.monotonicMillis()
            val stored = known ?: historyOf(entry)?.let { Stored(it, entry.modRevision, seenAtMillis) }
            if (stored != null) histories[service] = stored
        }
        watched = histories
    }

    /** Whether the software version of [target] is on record. */
    fun serves(target: Target): Boolean {
        val version = target.softwareVersion ?: return false
        return watched[target.service]?.history?.serves(version) ?: false
    }

    /** The version of [service] if this process knows it to have had no other, and all its targets to run it. */
    fun uniformVersion(service: ServiceName): SoftwareVersion? {
        val sole = watched[service]?.history?.sole(dependencies.clock.wallMillis(), settings.retentionMillis)
        return sole?.takeIf { registered(service).all { it == sole } }
    }

    /** Reads the sole software version of [service] from the key-value service; null if it had several. */
    suspend fun readSole(service: ServiceName): Result<SoftwareVersion?, *> =
        dependencies.store.get(StreamKeys.history(service)).map { entry ->
            entry?.let { historyOf(it) }?.sole(dependencies.clock.wallMillis(), settings.retentionMillis)
        }

    /** Writes the histories that differ from the registered targets. */
    suspend fun publish() {
        val nowMillis = dependencies.clock.wallMillis()
        streamingServices().forEach { service ->
            val stored = watched[service]
            val before = stored?.history ?: VersionHistory()
            val next = before.next(registered(service) + unconfirmed(stored), nowMillis, settings.retentionMillis)
            if (next != before) write(service, next, stored?.revision ?: 0)
        }
    }

    /**
     * The versions that serve according to [stored], but of which the list of targets may be too old to tell: another
     * process has seen a target that this one has not.
     */
    private fun unconfirmed(stored: Stored?): Set<SoftwareVersion> {
        val confirmedAtMillis = dependencies.targetsConfirmation()?.atMillis
        val current = stored == null || confirmedAtMillis != null && confirmedAtMillis > stored.seenAtMillis
        return if (current) emptySet() else stored?.history?.leftAtMillis.orEmpty().filterValues { it == null }.keys
    }

    private suspend fun write(
        service: ServiceName,
        history: VersionHistory,
        revision: Long,
    ) {
        val key = StreamKeys.history(service)
        val value = history.leftAtMillis.mapKeys { it.key.value }
        val put = Write.Put(key, Jsons.wire.encodeToString(serializer, value))
        // Declined if another process was faster; the watch brings its history.
        dependencies.store.commit(Transaction(listOf(Condition.Unchanged(key, revision)), listOf(put))).fold(
            success = { Logger.info("event=software_versions service={} versions=\"{}\"", service.value, value) },
            failure = {
                Logger.warn(
                    "event=software_versions_not_written service={} cause=\"{}\"",
                    service.value,
                    it.detail
                )
            },
        )
    }

    private fun registered(service: ServiceName): Set<SoftwareVersion> =
        dependencies.gatewayState.targets
            .read()
            .of(service)
            .mapNotNullTo(HashSet()) { it.softwareVersion }

    private fun streamingServices(): Set<ServiceName> =
        dependencies.gatewayState.routes
            .read()
            .routes
            .filter { it.kind == RouteKind.STREAM && it.resumable }
            .flatMapTo(HashSet()) { route -> route.shares.map { it.service } }

    private fun historyOf(entry: KeyValueEntry): VersionHistory? =
        decodeDocument(
            serializer,
            entry
        )?.let { history -> VersionHistory(history.mapKeys { SoftwareVersion(it.key) }) }

    private companion object {
        private val serializer = MapSerializer(String.serializer(), kotlin.Long.serializer().nullable)
    }
}
