package bergamotwall.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a failed request ran on a target. */
@Serializable
public enum class RunState {
    /** No target started it. */
    @SerialName("not-run")
    NOT_RUN,

    /** A target ran it, wholly or in part. */
    @SerialName("ran")
    RAN,

    /** It cannot be told. */
    @SerialName("unknown")
    UNKNOWN,
}

/** Stable kinds of error; the last part of the problem's `type`. */
@Serializable
public enum class ProblemKind(
    /** HTTP status that carries the problem. */
    public val status: Int,
    /** Last part of the problem's `type`. */
    public val slug: String,
) {
    /** Malformed input. */
    BAD_REQUEST(status = 400, slug = "bad-request"),

    /** No or unknown bearer key. */
    UNAUTHENTICATED(status = 401, slug = "unauthenticated"),

    /** The key may not do this. */
    FORBIDDEN(status = 403, slug = "forbidden"),

    /** No such model, service, plan or batch. */
    NOT_FOUND(status = 404, slug = "not-found"),

    /** Another change came first. */
    CONFLICT(status = 409, slug = "conflict"),

    /** The same idempotency key is in progress or its outcome cannot be told. */
    OUTCOME_UNKNOWN(status = 409, slug = "outcome-unknown"),

    /** Body over the limit. */
    TOO_LARGE(status = 413, slug = "too-large"),

    /** The request crashed targets and is refused. */
    QUARANTINED(status = 422, slug = "quarantined"),

    /** Over the limit of queue, budget or deadline; come back after the stated time. */
    OVERLOADED(status = 429, slug = "overloaded"),

    /** The target broke off. */
    TARGET_FAILED(status = 502, slug = "target-failed"),

    /** No eligible target, or the key-value service is needed and down. */
    UNAVAILABLE(status = 503, slug = "unavailable"),

    /** The deadline passed. */
    DEADLINE(status = 504, slug = "deadline-exceeded"),
}

/** Typed error towards callers and operators (RFC 9457). [retryAfterMillis] says when to come back. */
@Serializable
public data class Problem(
    val kind: ProblemKind,
    val detail: String,
    val runState: RunState = RunState.NOT_RUN,
    val retryAfterMillis: Long? = null,
)
