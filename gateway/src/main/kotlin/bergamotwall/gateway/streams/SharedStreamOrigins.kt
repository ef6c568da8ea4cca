package bergamotwall.gateway.streams

import bergamotwall.drivers.KeyValueEntry
import bergamotwall.gateway.store.decodeDocument
import bergamotwall.gateway.targets.Target
import bergamotwall.model.RequestId
import bergamotwall.model.ServiceName
import bergamotwall.runtime.launchSupervised
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.Logger

/**
 * [StreamOrigins] that outlast the processes, at no cost per request in normal operation: while the targets of a
 * service run a single software version, and none ran another one lately, that version on record tells where any
 * stream began. Otherwise the origin of each stream is written to the key-value service, several in one call. A stream
 * of which neither tells the origin is not resumed.
 */
internal class SharedStreamOrigins(
    private val dependencies: StreamOriginDependencies,
    private val settings: StreamSettings,
) : StreamOrigins {
    private val histories = ServiceHistories(dependencies, settings)
    private val records = OriginRecords(dependencies, settings, histories)
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val changes = Channel<Unit>(Channel.CONFLATED)
    private val resumed =
        dependencies.metrics.counter("resumed_streams", "Resumed streams, by what told their origin.", "origin")

    @Volatile
    private var everLoaded = false

    /** Whether streams may begin, or could once, in each service that serves them. Requires routes and targets. */
    val loaded: Boolean get() = everLoaded || histories.complete.also { everLoaded = it }

    init {
        dependencies.metrics.gauge("remembered_streams", "Streams that the process began lately.") { records.size }
    }

    override fun mayBeginAt(target: Target): Boolean = histories.serves(target)

    override fun began(
        request: RequestId,
        target: Target,
        services: Set<ServiceName>,
    ) {
        val version = target.softwareVersion ?: return
        val origin = StreamOrigin(target.service, version)
        if (records.remember(request, origin, onlyService = services.size == 1)) wake.trySend(Unit)
    }

    override suspend fun find(
        first: RequestId?,
        services: Set<ServiceName>,
    ): StreamOrigin? {
        if (outdatedTargets != null) {
            resumed.labelValues("outdated_targets").inc()
            return null
        }
        val own = first?.let { records.find(it) }
        if (own != null) resumed.labelValues("memory").inc()
        return own ?: if (first == null) {
            soleOrigin(services)
        } else {
            look(first, services) ?: run {
                delay(settings.pendingMillis)
                look(first, services).also { if (it == null) resumed.labelValues("unknown").inc() }
            }
        }
    }

    override fun peek(
        first: RequestId?,
        services: Set<ServiceName>,
    ): OriginPeek {
        val service = services.singleOrNull()
        val sole = service?.let { histories.uniformVersion(it) }
        val own = first?.let { records.find(it) }
        return outdatedTargets ?: when {
            own != null -> OriginPeek.Known(own, "this process began the stream")
            service != null && sole != null ->
                OriginPeek.Known(StreamOrigin(service, sole), "the service had one software version only")
            else -> OriginPeek.InStore
        }
    }

    private val outdatedTargets: OriginPeek.OutdatedTargets?
        get() {
            val ageMillis = dependencies.targetsConfirmation()?.ageMillis(dependencies.clock)
            val outdated = ageMillis == null || ageMillis > settings.targetsStaleMillis
            return if (outdated) OriginPeek.OutdatedTargets(ageMillis) else null
        }

    /** Applies the version histories among the [entries] that all processes watch. */
    fun onStoreChanged(entries: Map<String, KeyValueEntry>) {
        histories.onStoreChanged(entries)
        wake.trySend(Unit)
    }

    /** Notifies that the targets or the routes have changed. */
    fun changed() {
        changes.trySend(Unit)
    }

    /** Starts to publish in [scope] what other processes need to know. */
    fun start(scope: CoroutineScope): Job =
        scope.launchSupervised("streams") {
            launch {
                while (true) {
                    withTimeoutOrNull(PUBLISH_MILLIS) { changes.receive() }
                    // Random, so that one of the processes that see a change at the same time writes it first.
                    delay(dependencies.random.nextLong(SPREAD_MILLIS))
                    histories.publish()
                }
            }
            while (true) {
                withTimeoutOrNull(SWEEP_MILLIS) { wake.receive() }
                delay(if (records.write()) records.pauseMillis() else RETRY_MILLIS)
            }
        }

    /** Publishes now what other processes need to know. Returns whether all of it is stored. */
    suspend fun publish(): Boolean {
        histories.publish()
        return records.write()
    }

    /** The record is read before the version history: a stream that is on neither has not begun yet. */
    private suspend fun look(
        first: RequestId,
        services: Set<ServiceName>,
    ): StreamOrigin? =
        dependencies.store.get(StreamKeys.origin(first)).fold(
            success = { entry ->
                if (entry != null) resumed.labelValues("record").inc()
                if (entry == null) soleOrigin(services) else decodeDocument(StreamOrigin.serializer(), entry)
            },
            failure = {
                Logger.warn("event=stream_origin_unknown request={} cause=\"{}\"", first.value, it.detail)
                null
            },
        )

    private suspend fun soleOrigin(services: Set<ServiceName>): StreamOrigin? {
        val service = services.singleOrNull()
        val version = service?.let { histories.readSole(it).get() }
        if (version != null) resumed.labelValues("sole_version").inc()
        return version?.let { StreamOrigin(service, it) }
    }

    private companion object {
        /** Time until a version history that could not be written, or has lost a race, is compared again. */
        private const val PUBLISH_MILLIS = 250L

        /** Several times what a write takes to be seen by the other processes. */
        private const val SPREAD_MILLIS = 50L

        /** Time between two removals of streams that are too old to be resumed. */
        private const val SWEEP_MILLIS = 5_000L
        private const val RETRY_MILLIS = 200L
    }
}
