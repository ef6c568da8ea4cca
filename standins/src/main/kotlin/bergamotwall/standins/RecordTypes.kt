package bergamotwall.standins

import kotlinx.serialization.Serializable

/** One execution of a write by an instance of a plain service. */
@Serializable
internal data class ServiceRun(val instance: String, val key: String, val path: String, val atMillis: Long)

/** One attempt of a call by a caller, and its outcome. [tookMillis] counts from the first attempt of the call. */
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

/** Kind of the target that was called. */
@Serializable
internal enum class CallKind { MODEL, SERVICE }

/** How an attempt of a call ended for the caller. */
@Serializable
internal enum class CallOutcome {
    /** The complete response to this request. */
    WHOLE,

    /** Refused with a problem document that says that the request did not run. */
    NOT_RUN,

    /** An error that does not rule out that the request ran. */
    UNKNOWN,

    /** The connection failed, time ran out, or a stream ended without its end mark. */
    CUT,

    /** The response belongs to another request, or tokens are missing from it. */
    WRONG,

    /** The weight versions that the response states differ from those in its text. */
    MISLABELLED,
}

/**
 * A batch that a trainer received, with the trainer's checks of its samples.
 *
 * [mislabelled], [wrong] and [tooStale] count the samples whose stated versions differ from those in the text, whose
 * text is not the complete response to the prompt, and which are older than the trainer's bound; [wrongScores] those
 * without the score of their text. [short] counts the samples missing from the groups. [ageVersions] has for each
 * sample how many versions it is behind the newest.
 */
@Serializable
internal data class BatchRecord(
    val trainer: String,
    val batch: Long,
    val samples: List<String>,
    val mislabelled: Int,
    val wrong: Int,
    val tooStale: Int,
    val short: Int,
    val wrongScores: Int = 0,
    val waitedMillis: Long,
    val ageVersions: List<Long>,
    val atMillis: Long,
    val orderedAtMillis: Long,
    val oldestVersion: Long,
)

/** A weight version that a trainer published, recorded when the publication was acknowledged. */
@Serializable
internal data class PublishRecord(val model: String, val version: Long, val atMillis: Long)

/** A fault or planned stop that `bin/demo` brought about, the end of a pause, or a crash that it noticed. */
@Serializable
internal data class FaultRecord(val kind: String, val subject: String, val address: String, val atMillis: Long)

/** Configuration revision that a node reported. */
@Serializable
internal data class RevisionRecord(val node: String, val revision: Long, val atMillis: Long)
