package bergamotwall.standins

import kotlinx.serialization.Serializable

/** A run of a plain service. */
@Serializable
internal data class ServiceRun(val instance: String, val key: String, val path: String, val atMillis: Long)

/** A request of a caller and its final outcome. */
@Serializable
internal data class CallRecord(
    val caller: String,
    val kind: CallKind,
    val key: String,
    val outcome: CallOutcome,
    val detail: String = "",
    val entry: String = "",
    val atMillis: Long,
    val tookMillis: Long,
    val firstTokenMillis: Long = 0,
)

/** What was called. */
@Serializable
internal enum class CallKind { MODEL, SERVICE }

/** How a call ended for the caller. */
@Serializable
internal enum class CallOutcome {
    /** The whole answer to its own request. */
    WHOLE,

    /** Refused with a problem that says it did not run. */
    NOT_RUN,

    /** A problem that says it ran or may have run. */
    UNKNOWN,

    /** The connection broke, or a stream ended without its end mark. */
    CUT,

    /** The answer belonged to another request, or had a gap. */
    WRONG,

    /** The label did not match the text. */
    MISLABELLED,
}

/** A batch that a trainer took. */
@Serializable
internal data class BatchRecord(
    val trainer: String,
    val batch: Long,
    val samples: List<String>,
    val mislabelled: Int,
    val wrong: Int,
    val tooStale: Int,
    val short: Int,
    val waitedMillis: Long,
    val ageVersions: List<Long>,
    val atMillis: Long,
    val orderedAtMillis: Long,
    val oldestVersion: Long,
)

/** A version that a trainer published, once acknowledged. */
@Serializable
internal data class PublishRecord(val model: String, val version: Long, val atMillis: Long)

/** A fault, or a planned stop, that the demo brought about. */
@Serializable
internal data class FaultRecord(val kind: String, val subject: String, val address: String, val atMillis: Long)

/** Revisions in force as a node told them. */
@Serializable
internal data class RevisionRecord(val node: String, val revision: Long, val atMillis: Long)
