package bergamotwall.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Starts of runs at the process [node], for the leader that reports usage; the response is [UsageReceived] or
 * [PeerRefusal].
 *
 * The starts are numbered by each incarnation of a process in the order in which it recorded them, the first of these
 * is number [firstSequence]. Start `i` is of the workspace `workspaces[workspaceIndexes[i]]` and was `agesMillis[i]`
 * old at [sentAtMillis]. The sender still has those from [oldestSequence] on and will number its next one
 * [nextSequence].
 */
@Serializable
@SerialName("us")
public data class UsageStarts(
    @SerialName("n") val node: NodeId,
    @SerialName("i") val incarnation: Long,
    @SerialName("f") val firstSequence: Long,
    @SerialName("w") val workspaces: List<String>,
    @SerialName("x") val workspaceIndexes: List<Int>,
    @SerialName("a") val agesMillis: List<Long>,
    @SerialName("o") val oldestSequence: Long,
    @SerialName("e") val nextSequence: Long,
    /** The sender's monotonic clock. */
    @SerialName("m") val sentAtMillis: Long,
    /** The sender's wall clock at the same moment. */
    @SerialName("c") val wallMillis: Long,
    /** Age of the oldest request that was sent and may still turn out to have started; 0 if there is none. */
    @SerialName("p") val pendingAgeMillis: Long = 0,
    /** For how long before [sentAtMillis] the sender has kept all of its starts. */
    @SerialName("k") val keptMillis: Long = 0,
    /** Whether another process has passed the message on to the leader. */
    @SerialName("r") val relayed: Boolean = false,
    /** Whether the sender is the leader, and the receiver keeps its starts for the next one. */
    @SerialName("d") val mirrored: Boolean = false,
) : PeerMessage

/** The receiver has all starts of the sender before [nextSequence]. */
@Serializable
@SerialName("ur")
public data class UsageReceived(@SerialName("e") val nextSequence: Long) : PeerMessage
