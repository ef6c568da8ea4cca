package bergamotwall.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What a node does. */
@Serializable
public enum class NodeRole {
    /** Serves callers. */
    @SerialName("e")
    ENTRY,

    /** Observes and orders. */
    @SerialName("c")
    CONTROLLER,

    /** Keeps sample bodies. */
    @SerialName("s")
    SAMPLES,
}

/** How a member is seen. */
@Serializable
public enum class MemberState {
    /** Answers. */
    @SerialName("a")
    ALIVE,

    /** Answers, takes no new work. */
    @SerialName("l")
    LEAVING,

    /** Did not answer lately. */
    @SerialName("s")
    SUSPECT,

    /** Taken for gone; still asked now and then, so that splits heal. */
    @SerialName("d")
    DEAD,
}

/** What is known of one member. A higher [incarnation] overrules; only the member itself raises it. */
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

/** Crash evidence against a request's content; spreads with the membership. */
@Serializable
public data class CrashRecord(
    @SerialName("f") val fingerprint: Fingerprint,
    @SerialName("t") val targets: Set<TargetId>,
    @SerialName("e") val expiresAtMillis: Long,
)

/** Content piggy-backed on every probe and answer. */
@Serializable
public data class Gossip(
    @SerialName("m") val members: List<Member> = emptyList(),
    @SerialName("c") val crashes: List<CrashRecord> = emptyList(),
    @SerialName("v") val configuration: ConfigurationRevision = ConfigurationRevision(0),
    @SerialName("f") val vmList: Long = 0,
    @SerialName("w") val published: List<PublishedVersion> = emptyList(),
)

/** Message from one process of the fleet to another. Every request has one answer. */
@Serializable
public sealed interface PeerMessage

/** Direct probe; answered by [ProbeAck]. */
@Serializable
@SerialName("pr")
public data class Probe(val from: Member, val gossip: Gossip) : PeerMessage

/** Asks the receiver to probe [target] on the sender's behalf; answered by [ProbeAck] or [PeerRefusal]. */
@Serializable
@SerialName("pi")
public data class IndirectProbe(val from: Member, val target: Member) : PeerMessage

/** Answer to a probe. */
@Serializable
@SerialName("pa")
public data class ProbeAck(val from: Member, val gossip: Gossip) : PeerMessage

/** Asks for the documents that the sender has at lower revisions; answered by [Documents]. */
@Serializable
@SerialName("dp")
public data class PullDocuments(val configuration: ConfigurationRevision, val vmList: Long) : PeerMessage

/** The documents that are newer than asked for. */
@Serializable
@SerialName("da")
public data class Documents(val configuration: Configuration? = null, val vmList: VmList? = null) : PeerMessage

/** Work offered to the entry that owns a dispatch shard; answered by [Granted] or [PeerRefusal]. */
@Serializable
@SerialName("of")
public data class Offer(
    val request: RequestId,
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
) : PeerMessage

/** Permit to run the offered request on [target], once. */
@Serializable
@SerialName("gr")
public data class Granted(val target: TargetId, val address: String) : PeerMessage

/** The requester no longer wants the offered request. Answered by [Done]. */
@Serializable
@SerialName("wd")
public data class Withdraw(val request: RequestId) : PeerMessage

/** How the run under a permit ended. */
@Serializable
public enum class RunOutcome {
    /** The whole answer came. */
    @SerialName("w")
    WHOLE,

    /** Cancelled by the requester. */
    @SerialName("c")
    CANCELLED,

    /** The target refused it before starting. */
    @SerialName("n")
    NOT_STARTED,

    /** The connection broke while it ran. */
    @SerialName("b")
    BROKEN,
}

/** Returns a permit. Answered by [Done]. */
@Serializable
@SerialName("fi")
public data class Finished(
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

/** Asks a sample store to keep [sample] durably; answered by [Done] after it is on disk. */
@Serializable
@SerialName("ss")
public data class StoreSample(val trainer: TrainerName, val batch: Long, val sample: Sample) : PeerMessage

/** Asks a sample store for the samples it holds of a batch; answered by [SamplesFound]. */
@Serializable
@SerialName("sf")
public data class FetchSamples(val trainer: TrainerName, val batch: Long) : PeerMessage

/** Samples that a store holds. */
@Serializable
@SerialName("sr")
public data class SamplesFound(val samples: List<Sample>) : PeerMessage

/** Tells a sample store that batches up to [batch] are acknowledged; answered by [Done]. */
@Serializable
@SerialName("sa")
public data class ReleaseSamples(val trainer: TrainerName, val batch: Long) : PeerMessage

/** Asks the writer of a receipt shard to reserve receipts; answered by [ReceiptState] or [PeerRefusal]. */
@Serializable
@SerialName("rr")
public data class ReserveReceipt(
    val key: String,
    val fingerprint: Fingerprint,
    val nonce: String,
    val node: NodeId
) : PeerMessage

/** Records the outcome of a reserved run; answered by [Done]. */
@Serializable
@SerialName("rc")
public data class CompleteReceipt(val key: String, val nonce: String, val receipt: Receipt) : PeerMessage

/** Asks the node that reserved under [nonce] what became of the run; answered by [ReceiptState]. */
@Serializable
@SerialName("rq")
public data class QueryReceipt(val key: String, val nonce: String) : PeerMessage

/** A receipt as found; [reserved] is true when the asker's own nonce was written. */
@Serializable
@SerialName("rs")
public data class ReceiptState(val receipt: Receipt?, val reserved: Boolean) : PeerMessage

/** Asks a node for the events of its journal about [subject]; answered by [Explanation]. */
@Serializable
@SerialName("eq")
public data class ExplainQuery(val subject: String) : PeerMessage

/** Events found. */
@Serializable
@SerialName("ea")
public data class Explanation(val events: List<JournalEvent>) : PeerMessage

/** Asks a node for its status; answered by [NodeStatus]. */
@Serializable
@SerialName("tq")
public data object StatusQuery : PeerMessage

/** What a node says of itself to operators. */
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

/** The receiver cannot do what was asked. */
@Serializable
@SerialName("no")
public data class PeerRefusal(val problem: Problem) : PeerMessage
