package bergamotwall.model

import kotlinx.serialization.Serializable

/**
 * The request that has a service score the text of an item: a `POST` of the decoded [bodyBase64] to [path] on [host],
 * with the id [id]. It may run more than once.
 */
@Serializable
public data class RewardCall(val id: RequestId, val host: String, val path: String, val bodyBase64: String)
