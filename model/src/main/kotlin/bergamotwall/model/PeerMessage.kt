package bergamotwall.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Role of a process of the fleet. */
@Serializable
public enum class NodeRole {
    /** Accepts requests of callers and trainers and dispatches them to targets. */
    @SerialName("e")
    ENTRY,

    /** Runs the control path: plans, weight rollouts and relays. */
    @SerialName("c")
    CONTROLLER,

    /** Stores sample bodies. */
    @SerialName("s")
    SAMPLES,
}

/** State of a member as other members see it. */
@Serializable
public enum class MemberState {
    /** Responds to probes. */
    @SerialName("a")
    ALIVE,

    /** Responds to probes, but takes no new work. */
    @SerialName("l")
    LEAVING,

    /** Failed to respond to recent probes. */
    @SerialName("s")
    SUSPECT,

    /** Declared dead; still probed periodically, so that the fleet reunites after a network partition. */
    @SerialName("d")
    DEAD,
}

/** Known state of one member. A higher [incarnation] takes precedence; only the member itself raises it. */
@Serializable
public data class Member(
    @SerialName("i") val id: NodeId,
    @SerialName("r") val role: NodeRole,
    @SerialName("z") val dataCentre: DataCentre,
    @SerialName("p") val peerAddress: String,
    @SerialName("h") val httpAddress: String,
    @SerialName("n") val incarnation: Long,
    @SerialName("s") val state: MemberState,
)

/** Evidence that requests with the content [fingerprint] crashed [targets]; spread by gossip until it expires. */
@Serializable
public data class CrashRecord(
    @SerialName("f") val fingerprint: Fingerprint,
    @SerialName("t") val targets: Set<TargetId>,
    @SerialName("e") val expiresAtMillis: Long,
)

/** State piggybacked on every probe and its acknowledgement. */
@Serializable
public data class Gossip(
    @SerialName("m") val members: List<Member> = emptyList(),
    @SerialName("c") val crashes: List<CrashRecord> = emptyList(),
    @SerialName("v") val configuration: ConfigurationRevision = ConfigurationRevision(0),
    @SerialName("f") val vmList: Long = 0,
    @SerialName("w") val published: List<PublishedVersion> = emptyList(),
)

/** Message between processes of the fleet. Every request has exactly one response. */
@Serializable
public sealed interface PeerMessage

/** Direct probe; the response is [ProbeAck]. */
@Serializable
@SerialName("pr")
public data class Probe(val from: Member, val gossip: Gossip) : PeerMessage

/** Requests that the receiver probes [target] for the sender; the response is [ProbeAck] or [PeerRefusal]. */
@Serializable
@SerialName("pi")
public data class IndirectProbe(val from: Member, val target: Member) : PeerMessage

/** Acknowledges a probe. */
@Serializable
@SerialName("pa")
public data class ProbeAck(val from: Member, val gossip: Gossip) : PeerMessage

/** Requests the documents that are newer than the sender's revisions; the response is [Documents]. */
@Serializable
@SerialName("dp")
public data class PullDocuments(val configuration: ConfigurationRevision, val vmList: Long) : PeerMessage

/** The documents that are newer than the requested revisions; null for the others. */
@Serializable
@SerialName("da")
public data class Documents(val configuration: Configuration? = null, val vmList: VmList? = null) : PeerMessage

/**
 * Requests a permit for the request [id] from the entry that owns the dispatch shard; the response is
 * [PermitGranted] or [PeerRefusal]. [fromBatch]: the request is an item of a trainer's batch, which is owed whatever
 * happened to the targets that ran it.
 */
@Serializable
@SerialName("of")
public data class DispatchRequest(
    @SerialName("request") val id: RequestId,
    val requester: NodeId,
    val serves: String,
    val priorityClass: PriorityClass,
    val flow: String,
    val sequence: Long,
    val prefix: Long,
    val fingerprint: Fingerprint,
    val minVersion: WeightVersion,
    val expectedTokens: Int,
    val deadlineInMillis: Long,
    val excluded: Set<TargetId> = emptySet(),
    val dataCentre: DataCentre,
    val fromBatch: Boolean = false,
) : PeerMessage

/** Permit to run the request on [target] once. */
@Serializable
@SerialName("gr")
public data class PermitGranted(val target: TargetId, val address: String) : PeerMessage

/** Withdraws a request: it leaves the queue, or its permit is released. The response is [Done]. */
@Serializable
@SerialName("wd")
public data class WithdrawRequest(val request: RequestId) : PeerMessage

/** Outcome of the run under a permit. */
@Serializable
public enum class RunOutcome {
    /** The response was received completely. */
    @SerialName("w")
    WHOLE,

    /** Cancelled by the requester. */
    @SerialName("c")
    CANCELLED,

    /** The target refused the request without starting it. */
    @SerialName("n")
    NOT_STARTED,

    /** The connection failed while the request was running. */
    @SerialName("b")
    BROKEN,
}

/**
 * Returns a permit and reports how the run ended; the response is [Done]. All figures are those of this run alone, also
 * if it resumed an earlier one. [firstTokenMillis] is [durationMillis] if there was no token.
 */
@Serializable
@SerialName("fi")
public data class RunFinished(
    val request: RequestId,
    val serves: String,
    val target: TargetId,
    val fingerprint: Fingerprint,
    val outcome: RunOutcome,
    val firstTokenMillis: Long,
    val durationMillis: Long,
    val tokens: Int,
    val versions: List<WeightVersion>,
) : PeerMessage

/** Requests that a sample store persists [sample]; the response is [Done] once it is on disk. */
@Serializable
@SerialName("ss")
public data class StoreSample(val trainer: TrainerName, val batch: Long, val sample: Sample) : PeerMessage

/** Requests the stored samples of a batch from a sample store; the response is [StoredSamples]. */
@Serializable
@SerialName("sf")
public data class FetchSamples(val trainer: TrainerName, val batch: Long) : PeerMessage

/** Samples of a batch that the store has. */
@Serializable
@SerialName("sr")
public data class StoredSamples(val samples: List<Sample>) : PeerMessage

/** Tells a sample store that batches up to [batch] are acknowledged; the response is [Done]. */
@Serializable
@SerialName("sa")
public data class ReleaseSamples(val trainer: TrainerName, val batch: Long) : PeerMessage

/**
 * Requests that the writer of a receipt shard reserves the receipt of [key]; the response is [ReceiptState] or
 * [PeerRefusal].
 */
@Serializable
@SerialName("rr")
public data class ReserveReceipt(
    val key: String,
    val fingerprint: Fingerprint,
    val nonce: String,
    val node: NodeId
) : PeerMessage

/** Records the outcome of a reserved run; the response is [Done]. */
@Serializable
@SerialName("rc")
public data class CompleteReceipt(val key: String, val nonce: String, val receipt: Receipt) : PeerMessage

/** Queries the state of the run from the node that reserved it under [nonce]; the response is [ReceiptState]. */
@Serializable
@SerialName("rq")
public data class QueryReceipt(val key: String, val nonce: String) : PeerMessage

/** The current receipt, or null; [reserved] is true if the receipt was reserved under the requester's own nonce. */
@Serializable
@SerialName("rs")
public data class ReceiptState(val receipt: Receipt?, val reserved: Boolean) : PeerMessage

/** Queries the events in a node's journal about [subject]; the response is [Explanation]. */
@Serializable
@SerialName("eq")
public data class ExplainQuery(val subject: String) : PeerMessage

/** Events that match the query. */
@Serializable
@SerialName("ea")
public data class Explanation(val events: List<JournalEvent>) : PeerMessage

/** Queries the status of a node; the response is [NodeStatus]. */
@Serializable
@SerialName("tq")
public data object StatusQuery : PeerMessage

/** Status of a node, for operators. [duties] names the leaderships that it holds. */
@Serializable
@SerialName("ta")
public data class NodeStatus(
    val node: NodeId,
    val configuration: ConfigurationRevision,
    val vmList: Long,
    val trainers: List<TrainerStatus> = emptyList(),
    val shards: List<ShardStatus> = emptyList(),
    val duties: List<String> = emptyList(),
) : PeerMessage

/** Plain acknowledgement. */
@Serializable
@SerialName("ok")
public data object Done : PeerMessage

/** The receiver cannot serve the request. */
@Serializable
@SerialName("no")
public data class PeerRefusal(val problem: Problem) : PeerMessage
