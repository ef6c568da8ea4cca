package bergamotwall.gateway.usage

import kotlinx.serialization.Serializable

/**
 * The report of [window], as decided: the number of starts of each workspace. Stored before it is first sent, and never
 * changed. When it was decided, the reports of all windows before [acceptedBefore] had been accepted.
 */
@Serializable
public data class UsageReport(
    val window: Long,
    val counts: Map<String, Int>,
    val acceptedBefore: Long = 0,
)
