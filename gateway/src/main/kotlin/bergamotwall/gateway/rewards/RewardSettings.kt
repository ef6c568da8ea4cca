package bergamotwall.gateway.rewards

import kotlinx.serialization.Serializable

/** Limits for reward calls. */
@Serializable
public data class RewardSettings(
    /**
     * Share of the slots of a service that reward calls may fill, in percent; the rest is left to callers, who wait for
     * their responses.
     */
    val slotSharePercent: Int = 50,
    /** Pause before a call is tried again for which there is no route. */
    val unroutedPauseMillis: Long = 500,
    /** Longest pause before a call is tried again that was refused as not run. */
    val maxRefusedPauseMillis: Long = 1_000,
)
