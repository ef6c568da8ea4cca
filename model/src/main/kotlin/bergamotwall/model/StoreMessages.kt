package bergamotwall.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Asks a process that reaches the key-value service for one entry; answered by [StoreEntries] or [StoreFailure]. */
@Serializable
@SerialName("kg")
public data class StoreGet(val key: String) : PeerMessage

/** Asks for all entries under [prefix]; answered by [StoreEntries] or [StoreFailure]. */
@Serializable
@SerialName("kl")
public data class StoreList(val prefix: String) : PeerMessage

/** Asks to commit a transaction; answered by [StoreCommitted], [StoreEntries] if it was declined, or [StoreFailure]. */
@Serializable
@SerialName("kt")
public data class StoreCommit(
    val conditions: List<StoreCondition>,
    val puts: List<StoreWrite>,
    val deletes: List<String>,
    val orElseRead: List<String>,
) : PeerMessage

/** Asks to grant a lease of [ttlSeconds]; answered by [StoreCommitted] with its id, or [StoreFailure]. */
@Serializable
@SerialName("kn")
public data class StoreGrant(val ttlSeconds: Long) : PeerMessage

/** Asks to renew [lease], or to end it; answered by [Done] or [StoreFailure]. */
@Serializable
@SerialName("kk")
public data class StoreRenew(val lease: Long, val end: Boolean) : PeerMessage

/** Asks for changes under [prefix] after revision [after]; answered by [StoreChanges] or [StoreFailure]. */
@Serializable
@SerialName("kw")
public data class StoreWatch(val prefix: String, val after: Long, val waitMillis: Long) : PeerMessage

/** The key's last write must be [revision]; 0 if it must not exist. */
@Serializable
public data class StoreCondition(val key: String, val revision: Long)

/** Write of a key; [lease] is 0 for none. */
@Serializable
public data class StoreWrite(val key: String, val value: String, val lease: Long)

/** One entry. */
@Serializable
public data class StoreEntry(val key: String, val value: String, val modRevision: Long, val createRevision: Long)

/** One change; [entry] is null for a deletion. */
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

/** How a relayed call failed. */
@Serializable
public enum class StoreFailureKind {
    /** No answer, or not served now. */
    @SerialName("u")
    UNAVAILABLE,

    /** Refused. */
    @SerialName("r")
    REJECTED,

    /** The lease has lapsed. */
    @SerialName("l")
    LEASE_GONE,

    /** The changes are no longer kept. */
    @SerialName("h")
    HISTORY_GONE,
}

/** A relayed call failed; if [mayHaveApplied], a write may have taken effect. */
@Serializable
@SerialName("kf")
public data class StoreFailure(
    val kind: StoreFailureKind,
    val detail: String,
    val mayHaveApplied: Boolean,
) : PeerMessage
