package bergamotwall.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Requests one entry by way of a process that reaches the key-value service; the response is [StoreEntries] or
 * [StoreFailure].
 */
@Serializable
@SerialName("kg")
public data class StoreGet(val key: String) : PeerMessage

/** Requests all entries under [prefix]; the response is [StoreEntries] or [StoreFailure]. */
@Serializable
@SerialName("kl")
public data class StoreList(val prefix: String) : PeerMessage

/**
 * Requests to commit a transaction; the response is [StoreCommitted], [StoreEntries] of the keys [orElseRead] if a
 * condition did not hold, or [StoreFailure].
 */
@Serializable
@SerialName("kt")
public data class StoreCommit(
    val conditions: List<StoreCondition>,
    val puts: List<StoreWrite>,
    val deletes: List<String>,
    val orElseRead: List<String>,
) : PeerMessage

/** Requests a lease of [ttlSeconds]; the response is [StoreCommitted] with its id, or [StoreFailure]. */
@Serializable
@SerialName("kn")
public data class StoreGrant(val ttlSeconds: Long) : PeerMessage

/** Requests to renew [lease], or to revoke it if [end] is set; the response is [Done] or [StoreFailure]. */
@Serializable
@SerialName("kk")
public data class StoreRenew(val lease: Long, val end: Boolean) : PeerMessage

/**
 * Requests the changes under [prefix] after revision [after], waiting up to [waitMillis] for them; the response is
 * [StoreChanges] or [StoreFailure].
 */
@Serializable
@SerialName("kw")
public data class StoreWatch(val prefix: String, val after: Long, val waitMillis: Long) : PeerMessage

/** Requires that [key] was last written at [revision], or that it does not exist if [revision] is 0. */
@Serializable
public data class StoreCondition(val key: String, val revision: Long)

/** Writes [value] to [key] under [lease]; 0 means no lease. */
@Serializable
public data class StoreWrite(val key: String, val value: String, val lease: Long)

/** An entry of the key-value service. */
@Serializable
public data class StoreEntry(val key: String, val value: String, val modRevision: Long, val createRevision: Long)

/** A change of [key]; [entry] is null for a deletion. */
@Serializable
public data class StoreChange(val key: String, val entry: StoreEntry?)

/** Entries as of [revision]. */
@Serializable
@SerialName("ke")
public data class StoreEntries(val entries: List<StoreEntry>, val revision: Long) : PeerMessage

/** A transaction was committed at revision [value], or a lease granted with the id [value]. */
@Serializable
@SerialName("kc")
public data class StoreCommitted(val value: Long) : PeerMessage

/** Changes up to [revision]. */
@Serializable
@SerialName("kh")
public data class StoreChanges(val changes: List<StoreChange>, val revision: Long) : PeerMessage

/** Reason why a relayed call failed. */
@Serializable
public enum class StoreFailureKind {
    /** No response, or the service is temporarily unavailable. */
    @SerialName("u")
    UNAVAILABLE,

    /** The service rejected the call. */
    @SerialName("r")
    REJECTED,

    /** The lease has expired. */
    @SerialName("l")
    LEASE_EXPIRED,

    /** The requested changes have been compacted away. */
    @SerialName("h")
    HISTORY_COMPACTED,
}

/** A relayed call failed; [mayHaveApplied] is set if a write may have taken effect all the same. */
@Serializable
@SerialName("kf")
public data class StoreFailure(
    val kind: StoreFailureKind,
    val detail: String,
    val mayHaveApplied: Boolean,
) : PeerMessage
