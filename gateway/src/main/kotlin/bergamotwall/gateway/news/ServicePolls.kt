package bergamotwall.gateway.news

import bergamotwall.decisions.membership.provenAfterMillis
import bergamotwall.drivers.ChangeFeed
import bergamotwall.drivers.KeyValueChanges
import bergamotwall.drivers.KeyValueError
import bergamotwall.model.FollowChanges
import bergamotwall.runtime.Clock
import bergamotwall.runtime.read
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess

/** Polls the service itself over [feed], and records its responses in the copy of a watch. */
internal class ServicePolls(
    private val feed: ChangeFeed,
    private val clock: Clock,
    private val metrics: SharedWatchMetrics,
) {
    /** Polls for a process that watches for others. A quiet prefix is not listed again when old changes are dropped. */
    suspend fun pollForOthers(
        watch: SharedWatch,
        request: FollowChanges,
    ): Result<Followed<KeyValueChanges>, KeyValueError> =
        poll(watch, request, watch.quiet.pollAfter(request.after))
            .onSuccess { response ->
                val empty = response.content.changes.isEmpty()
                if (empty) watch.quiet.answeredEmpty(request.after, response.content.revision) else watch.quiet.reset()
            }.onFailure { watch.quiet.reset() }

    /** Polls for the changes after [pollAfter], before which the caller has missed none. */
    suspend fun poll(
        watch: SharedWatch,
        request: FollowChanges,
        pollAfter: Long = request.after,
    ): Result<Followed<KeyValueChanges>, KeyValueError> {
        watch.bypassed()
        metrics.polledService()
        val sent = clock.read()
        return feed.changes(request.prefix, pollAfter, request.waitMillis).map { changes ->
            val received = clock.read()
            val provenMillis =
                provenAfterMillis(
                    ageMillis = 0,
                    // A response with changes may have been sent at any time since the request.
                    waitedMillis = if (changes.changes.isEmpty()) request.waitMillis else 0,
                    longestWaitMillis = request.waitMillis,
                    elapsedMillis = received.monotonicMillis - sent.monotonicMillis,
                    suspendedMillis = sent.suspendedMillisUntil(received),
                )
            val proof = sent.plus(provenMillis)
            watch.proven(proof)
            watch.copy.changed(request.after, changes, proof)
            Followed(changes, proof)
        }
    }
}
