package bergamotwall.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How an entry chooses targets. All but [SHARDS] are baselines for experiments and provide no isolation. */
@Serializable
public enum class DispatchPolicy {
    /** The owner of each dispatch shard queues, prioritises and assigns requests. */
    @SerialName("shards")
    SHARDS,

    /** Each entry sends to the targets in turn, without admission control. */
    @SerialName("round-robin")
    ROUND_ROBIN,

    /** Each entry sends to the target with the fewest of its own requests, without admission control. */
    @SerialName("least-outstanding")
    LEAST_OUTSTANDING,
}
