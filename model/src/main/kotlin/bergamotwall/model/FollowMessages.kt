package bergamotwall.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Requests the entries under [prefix] from a process that watches the key-value service for others; the response is
 * [FollowedEntries] or [StoreFailure].
 */
@Serializable
@SerialName("nl")
public data class FollowList(val prefix: String) : PeerMessage

/**
 * Requests the changes under [prefix] after revision [after] from a process that watches the key-value service for
 * others. The process waits up to [waitMillis] for a change, or for a newer proof that there is none. [urgent]: the
 * sender must learn of changes at once; older builds do not say. The response is [FollowedChanges] or [StoreFailure].
 */
@Serializable
@SerialName("nc")
public data class FollowChanges(
    val prefix: String,
    val after: Long,
    val waitMillis: Long,
    val urgent: Boolean = true,
) : PeerMessage

/**
 * Entries as of [revision]. [ageMillis]: time from the moment at which the sender last knew from the key-value service
 * that they are current until it sent them.
 */
@Serializable
@SerialName("ne")
public data class FollowedEntries(
    val entries: List<StoreEntry>,
    val revision: Long,
    val ageMillis: Long,
) : PeerMessage

/**
 * Changes up to [revision], oldest first. [ageMillis] is that of [FollowedEntries]; [waitedMillis] is the time from the
 * arrival of the request until the response was sent, on the sender's clock.
 */
@Serializable
@SerialName("nh")
public data class FollowedChanges(
    val changes: List<StoreChange>,
    val revision: Long,
    val ageMillis: Long,
    val waitedMillis: Long = 0,
) : PeerMessage
