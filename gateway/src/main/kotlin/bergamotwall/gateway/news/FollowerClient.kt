package bergamotwall.gateway.news

import bergamotwall.decisions.membership.FollowerAnswer
import bergamotwall.decisions.membership.FollowerVerdict
import bergamotwall.decisions.membership.provenAfterMillis
import bergamotwall.decisions.membership.verdictOn
import bergamotwall.drivers.KeyValueChange
import bergamotwall.drivers.KeyValueChanges
import bergamotwall.drivers.KeyValueListing
import bergamotwall.gateway.members.GatewayMember
import bergamotwall.gateway.store.changeOf
import bergamotwall.gateway.store.entryOf
import bergamotwall.model.FollowChanges
import bergamotwall.model.FollowList
import bergamotwall.model.FollowedChanges
import bergamotwall.model.FollowedEntries
import bergamotwall.model.PeerMessage
import bergamotwall.model.StoreFailure
import bergamotwall.model.StoreFailureKind
import bergamotwall.peers.PeerClient
import bergamotwall.peers.PeerError
import bergamotwall.runtime.Clock
import bergamotwall.runtime.ClockReading
import bergamotwall.runtime.read
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.mapError

/** Why a follower's response is not used. */
internal enum class FollowerFailure { UNREACHABLE, SILENT, REFUSED, HISTORY_GONE, TOO_OLD, OLDER_STATE, INCONSISTENT }

/** What a follower sent, and the [proof] that it was current then, on the clocks of this process. */
internal class Followed<T>(val content: T, val proof: ClockReading)

/**
 * Asks followers and checks what they respond. A response may take [marginMillis] longer than the follower was asked
 * to wait, and its proof may be [maxAgeMillis] old.
 */
internal class FollowerClient(
    private val peers: PeerClient,
    private val clock: Clock,
    private val marginMillis: Long,
    private val maxAgeMillis: Long,
) {
    /** Requests the entries under [prefix] of [follower]; [known] is the copy of this process. */
    suspend fun list(
        follower: GatewayMember,
        prefix: String,
        known: PrefixCopy,
        timeoutMillis: Long,
    ): Result<Followed<KeyValueListing>, FollowerFailure> {
        val sent = clock.read()
        return request(follower, FollowList(prefix), timeoutMillis).andThen { response ->
            val entries = response as? FollowedEntries ?: return@andThen Err(failureOf(response))
            val listing = KeyValueListing(entries.entries.map { entryOf(it) }, entries.revision, follower.id)
            val answer =
                FollowerAnswer(
                    entries.revision,
                    entries.ageMillis,
                    hasContent = true,
                    revertsKey = known.wouldRevert(listing.entries.map { KeyValueChange.Put(it) }),
                )
            accept(answer, known.revision ?: 0, listing, sent.plus(-entries.ageMillis))
        }
    }

    /** Sends [request] to [follower]; [known] is the copy of this process. */
    suspend fun changes(
        follower: GatewayMember,
        request: FollowChanges,
        known: PrefixCopy,
    ): Result<Followed<KeyValueChanges>, FollowerFailure> {
        val sent = clock.read()
        return request(follower, request, request.waitMillis + marginMillis).andThen { response ->
            val followed = response as? FollowedChanges ?: return@andThen Err(failureOf(response))
            val changes = KeyValueChanges(followed.changes.map { changeOf(it) }, followed.revision, follower.id)
            val answer =
                FollowerAnswer(
                    followed.revision,
                    followed.ageMillis,
                    followed.waitedMillis,
                    followed.changes.maxOfOrNull { it.entry?.modRevision ?: 0 } ?: 0,
                    hasContent = changes.changes.isNotEmpty(),
                    revertsKey = known.wouldRevert(changes.changes),
                )
            accept(answer, request.after + 1, changes, proofOf(followed, sent, request.waitMillis))
        }
    }

    private suspend fun request(
        follower: GatewayMember,
        message: PeerMessage,
        timeoutMillis: Long,
    ): Result<PeerMessage, FollowerFailure> =
        peers.sendRequest(follower.peerAddress, message, timeoutMillis).mapError {
            if (it is PeerError.Unreachable) FollowerFailure.UNREACHABLE else FollowerFailure.SILENT
        }

    private fun <T> accept(
        answer: FollowerAnswer,
        lowestRevision: Long,
        content: T,
        proof: ClockReading,
    ): Result<Followed<T>, FollowerFailure> =
        when (verdictOn(answer, lowestRevision, maxAgeMillis)) {
            FollowerVerdict.ACCEPTED -> Ok(Followed(content, proof))
            FollowerVerdict.TOO_OLD -> Err(FollowerFailure.TOO_OLD)
            FollowerVerdict.OLDER_STATE -> Err(FollowerFailure.OLDER_STATE)
            FollowerVerdict.INCONSISTENT -> Err(FollowerFailure.INCONSISTENT)
        }

    private fun proofOf(
        followed: FollowedChanges,
        sent: ClockReading,
        waitMillis: Long,
    ): ClockReading {
        val received = clock.read()
        return sent.plus(
            provenAfterMillis(
                followed.ageMillis,
                followed.waitedMillis,
                waitMillis,
                received.monotonicMillis - sent.monotonicMillis,
                sent.suspendedMillisUntil(received),
            ),
        )
    }

    private fun failureOf(response: PeerMessage): FollowerFailure {
        val gone = response is StoreFailure && response.kind == StoreFailureKind.HISTORY_COMPACTED
        return if (gone) FollowerFailure.HISTORY_GONE else FollowerFailure.REFUSED
    }
}

/** The moment [millis] after this one on both clocks. */
internal fun ClockReading.plus(millis: Long): ClockReading =
    ClockReading(monotonicMillis + millis, wallMillis + millis)
