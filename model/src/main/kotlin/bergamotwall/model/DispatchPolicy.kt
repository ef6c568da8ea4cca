package bergamotwall.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How an entry chooses targets. All but [SHARDS] are baselines for experiments and give no isolation. */
@Serializable
public enum class DispatchPolicy {
    /** Queues, priorities and choice at the owner of each dispatch shard. */
    @SerialName("shards")
    SHARDS,

    /** Each entry sends to the targets in turn, without admission. */
    @SerialName("round-robin")
    ROUND_ROBIN,

    /** Each entry sends to the target with the fewest of its own requests, without admission. */
    @SerialName("least-outstanding")
    LEAST_OUTSTANDING,
}
