package bergamotwall.gateway.news

import bergamotwall.decisions.membership.followerPauseMillis
import bergamotwall.drivers.ChangeFeed
import bergamotwall.drivers.KeyValueChanges
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueListing
import bergamotwall.drivers.KeyValueStore
import bergamotwall.gateway.WatchSettings
import bergamotwall.gateway.members.GatewayMember
import bergamotwall.model.FollowChanges
import bergamotwall.model.PeerMessage
import bergamotwall.runtime.ClockReading
import bergamotwall.runtime.read
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap

/**
 * Key-value service whose watches are shared: in a large fleet, a few processes of each data centre watch it, and the
 * others receive the changes from these. All other calls are passed on as they are.
 *
 * A follower is sent a long poll only after it has just answered. When it fails, the other one is asked without a wait,
 * and then the service, so that a reader is never without news for longer than one long poll and two short time-outs.
 */
internal class SharedWatches(
    private val dependencies: SharedWatchDependencies,
    private val settings: WatchSettings,
) : KeyValueStore by dependencies.store,
    ChangeFeed {
    private val clock = dependencies.clock
    private val roles =
        WatchRoles(dependencies.self, dependencies.dataCentre, dependencies.members, settings.sharedFromMembers)
    private val timing = SharedWatchTiming(settings.sharedAgeMillis)
    private val client =
        FollowerClient(dependencies.peers, clock, settings.sharedMarginMillis, settings.sharedAgeMillis)
    private val watches = ConcurrentHashMap<String, SharedWatch>()
    private val server = FollowerServer({ watches[it] }, clock, settings.sharedAgeMillis)
    private val metrics = SharedWatchMetrics(dependencies.metrics, { roles.current() }, { watches.values })
    private val servicePolls = ServicePolls(dependencies.feed, clock, metrics)
    private val failures =
        dependencies.metrics.counter("follower_failures", "Responses of followers not used, by reason.", "reason")

    /** The response to a reader's [message], or null if it is none. */
    suspend fun handle(message: PeerMessage): PeerMessage? = server.handle(message)

    /**
     * The pause of the watch on [prefix] after a change: at most [usualMillis], which keeps the calls of all processes
     * to the service in bounds. Only followers and processes that watch alone call the service.
     */
    fun pauseMillis(
        prefix: String,
        usualMillis: Long,
    ): Long =
        when {
            roles.current() is WatchRole.Follower ->
                followerPauseMillis(
                    usualMillis,
                    dependencies.isUrgent(prefix) || watchOf(prefix).hasUrgentReader,
                    (settings.departureMillis - settings.departureMarginMillis) / 2,
                )
            watches[prefix]?.source != null -> minOf(usualMillis, READER_PAUSE_MILLIS)
            else -> usualMillis
        }

    override suspend fun list(prefix: String): Result<KeyValueListing, KeyValueError> {
        val watch = watchOf(prefix)
        val started = clock.read()
        for (follower in followersFor(watch)) {
            val response = client.list(follower, prefix, watch.copy, settings.marginMillis)
            val followed = usedResponse(watch, follower, response) ?: continue
            watch.listed(follower, followed.content)
            return Ok(followed.content.copy(provenAfterMillis = started.provenMillisUntil(followed.proof)))
        }
        watch.bypassed()
        val sent = clock.read()
        return dependencies.store.list(prefix).onSuccess { watch.copy.listed(it, sent) }
    }

    override suspend fun changes(
        prefix: String,
        afterRevision: Long,
        waitMillis: Long,
    ): Result<KeyValueChanges, KeyValueError> {
        val watch = watchOf(prefix)
        val request = FollowChanges(prefix, afterRevision, waitMillis, dependencies.isUrgent(prefix))
        return when (roles.current()) {
            is WatchRole.Alone -> servicePolls.poll(watch, request).map { it.content }
            is WatchRole.Follower -> follow(watch, request)
            is WatchRole.Reader -> read(watch, request)
        }
    }

    /**
     * Polls the service for this process and the readers. The wait ends before the proof is too old for them. A copy
     * to which another process has contributed is listed again first.
     */
    private suspend fun follow(
        watch: SharedWatch,
        request: FollowChanges,
    ): Result<KeyValueChanges, KeyValueError> {
        val proof = watch.copy.directProof ?: return Err(notListed)
        val started = clock.read()
        val waitMillis = timing.followerWaitMillis(request.waitMillis, proof.millisUntil(started))
        return servicePolls.pollForOthers(watch, request.copy(waitMillis = waitMillis))
            .map { it.content.copy(provenAfterMillis = started.provenMillisUntil(it.proof)) }
    }

    private suspend fun read(
        watch: SharedWatch,
        request: FollowChanges,
    ): Result<KeyValueChanges, KeyValueError> {
        val started = clock.read()
        val followers = followersFor(watch)
        val response = followers.firstNotNullOfOrNull { ask(watch, it, request, started) }
        // After a failure the service is asked without a wait, as changes since the last response may be overdue.
        val waitMillis = if (followers.isEmpty()) request.waitMillis else 0
        return (response ?: servicePolls.poll(watch, request.copy(waitMillis = waitMillis)))
            .map { it.content.copy(provenAfterMillis = started.provenMillisUntil(it.proof)) }
    }

    /** The response of [follower] that the reader goes on with, or null if it must ask elsewhere. */
    private suspend fun ask(
        watch: SharedWatch,
        follower: GatewayMember,
        request: FollowChanges,
        started: ClockReading,
    ): Result<Followed<KeyValueChanges>, KeyValueError>? {
        val longestMillis = timing.longPollMillis(request.waitMillis, watch.proofAgeMillis())
        val waitMillis = if (watch.trusts(follower)) longestMillis else 0
        val response = client.changes(follower, request.copy(waitMillis = waitMillis), watch.copy)
        if (watch.mustList(follower, response)) return Err(historyGone)
        return usedResponse(watch, follower, response)?.let { followed ->
            watch.copy.changed(request.after, followed.content, null)
            if (waitMillis > 0 && followed.content.changes.isEmpty()) {
                // A follower responds early to each new proof; one that always does so must not keep this process busy.
                delay(SharedWatchTiming.MIN_WAIT_MILLIS - (clock.monotonicMillis() - started.monotonicMillis))
            }
            Ok(followed)
        }
    }

    private fun watchOf(prefix: String): SharedWatch =
        watches.computeIfAbsent(prefix) { SharedWatch(it, clock, failures) }

    private fun followersFor(watch: SharedWatch): List<GatewayMember> =
        (roles.current() as? WatchRole.Reader)
            ?.let { watch.usable(if (dependencies.isUrgent(watch.prefix)) it.urgentFollowers else it.followers) }
            .orEmpty()

    /** The accepted [response] of [follower], or null; records which it is. */
    private fun <T> usedResponse(
        watch: SharedWatch,
        follower: GatewayMember,
        response: Result<Followed<T>, FollowerFailure>,
    ): Followed<T>? =
        response
            .onSuccess {
                metrics.polledFollower()
                watch.followed(follower, it.proof)
                dependencies.outages.respondedAt(it.proof)
            }.onFailure { watch.failed(follower, it) }
            .get()

    private companion object {
        private const val READER_PAUSE_MILLIS = 5L
        private val notListed = KeyValueError.HistoryCompacted("this process watches for others from now on")
        private val historyGone = KeyValueError.HistoryCompacted("the follower no longer has the changes")
    }
}

/** Time until [later] that has certainly passed: the shorter one if the VM was suspended or its wall clock set. */
private fun ClockReading.provenMillisUntil(later: ClockReading): Long =
    minOf(later.monotonicMillis - monotonicMillis, later.wallMillis - wallMillis)
