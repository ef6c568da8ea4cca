package bergamotwall.model

import kotlinx.serialization.Serializable

/** Body of an `application/problem+json` response. */
@Serializable
public data class ProblemDocument(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String,
    val runState: RunState,
    val retryAfterMillis: Long? = null,
)

/** Creates the document that describes [problem]. */
public fun ProblemDocument(problem: Problem): ProblemDocument =
    ProblemDocument(
        type = "urn:bergamotwall:problem:${problem.kind.slug}",
        title = problem.kind.slug.replace('-', ' '),
        status = problem.kind.status,
        detail = problem.detail,
        runState = problem.runState,
        retryAfterMillis = problem.retryAfterMillis,
    )
