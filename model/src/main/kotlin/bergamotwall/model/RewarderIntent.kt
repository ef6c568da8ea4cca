package bergamotwall.model

import kotlinx.serialization.Serializable

/**
 * The plain service that scores the samples of a trainer: each sample is sent to [path] of [service] with a `POST` of a
 * [ScoreRequest], and the body of the successful response is its score. The call may run more than once. It may take
 * [timeoutMillis]; a sample whose call has failed [maxAttempts] times is replaced by another one.
 */
@Serializable
public data class RewarderIntent(
    val service: ServiceName,
    val path: String = "/score",
    val timeoutMillis: Long = 10_000,
    val maxAttempts: Int = 4,
)
