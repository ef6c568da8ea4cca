package bergamotwall.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a failed request ran on a target. */
@Serializable
public enum class RunState {
    /** No target started it. */
    @SerialName("not-run")
    NOT_RUN,

    /** A target ran it, completely or partly. */
    @SerialName("ran")
    RAN,

    /** Unknown whether a target ran it. */
    @SerialName("unknown")
    UNKNOWN,
}

/** Kinds of error. They are part of the API, as [slug] is the last part of the problem's `type`. */
@Serializable
public enum class ProblemKind(
    /** HTTP status that carries the problem. */
    public val status: Int,
    /** Last part of the problem's `type`. */
    public val slug: String,
) {
    /** Malformed input. */
    BAD_REQUEST(status = 400, slug = "bad-request"),

    /** Missing or unknown bearer key. */
    UNAUTHENTICATED(status = 401, slug = "unauthenticated"),

    /** The key may not do this. */
    FORBIDDEN(status = 403, slug = "forbidden"),

    /** No such model, service, plan or batch. */
    NOT_FOUND(status = 404, slug = "not-found"),

    /** A concurrent change was applied first. */
    CONFLICT(status = 409, slug = "conflict"),

    /** A request with the same idempotency key is in progress, or its outcome is unknown. */
    OUTCOME_UNKNOWN(status = 409, slug = "outcome-unknown"),

    /** The body exceeds the size limit. */
    TOO_LARGE(status = 413, slug = "too-large"),

    /** The request's content crashed targets, so it is refused. */
    QUARANTINED(status = 422, slug = "quarantined"),

    /** A limit of queue, budget or deadline is exceeded; retry after the stated time. */
    OVERLOADED(status = 429, slug = "overloaded"),

    /** The target failed mid-response. */
    TARGET_FAILED(status = 502, slug = "target-failed"),

    /** No target is eligible, or the key-value service is needed and unavailable. */
    UNAVAILABLE(status = 503, slug = "unavailable"),

    /** The deadline expired. */
    DEADLINE(status = 504, slug = "deadline-exceeded"),
}

/** Error reported to callers and operators (RFC 9457). [retryAfterMillis] is the delay after which to retry. */
@Serializable
public data class Problem(
    val kind: ProblemKind,
    val detail: String,
    val runState: RunState = RunState.NOT_RUN,
    val retryAfterMillis: Long? = null,
)
