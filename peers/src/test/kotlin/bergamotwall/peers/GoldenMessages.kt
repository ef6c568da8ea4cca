package bergamotwall.peers

import bergamotwall.model.Alive
import bergamotwall.model.BatchId
import bergamotwall.model.BatchPage
import bergamotwall.model.BatchRecord
import bergamotwall.model.CheckAlive
import bergamotwall.model.Done
import bergamotwall.model.EndBatch
import bergamotwall.model.FetchItem
import bergamotwall.model.ItemBody
import bergamotwall.model.ItemId
import bergamotwall.model.ItemResult
import bergamotwall.model.ItemSpec
import bergamotwall.model.NodeId
import bergamotwall.model.NotOwner
import bergamotwall.model.PeerMessage
import bergamotwall.model.PeerRefusal
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.ReadBatch
import bergamotwall.model.ScalingDemand
import bergamotwall.model.ServiceDemand
import bergamotwall.model.ServiceName
import bergamotwall.model.StoreChange
import bergamotwall.model.StoreChanges
import bergamotwall.model.StoreCommit
import bergamotwall.model.StoreCommitted
import bergamotwall.model.StoreCondition
import bergamotwall.model.StoreEntries
import bergamotwall.model.StoreEntry
import bergamotwall.model.StoreFailure
import bergamotwall.model.StoreFailureKind
import bergamotwall.model.StoreGet
import bergamotwall.model.StoreGrant
import bergamotwall.model.StoreList
import bergamotwall.model.StoreRenew
import bergamotwall.model.StoreWatch
import bergamotwall.model.StoreWrite
import bergamotwall.model.SubmitBatch
import bergamotwall.model.WeightVersion

private val entry = StoreEntry("k", "v", 5, 4)

/** One message of each kind that the processes of a gateway exchange, by name. */
internal val GOLDEN_MESSAGES: Map<String, PeerMessage> =
    listOf(
        SubmitBatch(
            BatchRecord(
                BatchId("b"),
                "h",
                "/b",
                null,
                3,
                WeightVersion(2),
                4,
                listOf(ItemSpec(ItemId("i"), "g", "/i", emptyList(), "AAAA", 9)),
            ),
        ),
        ReadBatch(BatchId("b"), 3, 500),
        BatchPage(16, listOf(ItemResult(ItemId("i"), false, "text", listOf(WeightVersion(2))))),
        FetchItem(BatchId("b"), ItemId("i")),
        ItemBody("AAAA"),
        EndBatch(BatchId("b")),
        NotOwner,
        Done,
        PeerRefusal(Problem(ProblemKind.UNAVAILABLE, "not stored yet")),
        CheckAlive,
        Alive(7),
        StoreGet("k"),
        StoreList("p/"),
        StoreCommit(listOf(StoreCondition("k", 4)), listOf(StoreWrite("k", "v", 0)), listOf("d"), listOf("k")),
        StoreGrant(3),
        StoreRenew(9, true),
        StoreWatch("p/", 5, 4_000),
        StoreEntries(listOf(entry), 6),
        StoreCommitted(6),
        StoreChanges(listOf(StoreChange("k", entry), StoreChange("d", null)), 6),
        StoreFailure(StoreFailureKind.UNAVAILABLE, "status 503", true),
    ).associateBy { it::class.simpleName.orEmpty() }

/** Messages that were added for ordering targets. */
internal val SCALING_MESSAGES: Map<String, PeerMessage> =
    listOf(
        ScalingDemand(
            NodeId("n"),
            listOf(
                ServiceDemand(ServiceName("s"), 12, 3, 850, 2_400, listOf(16, 4), listOf(9_000, -1)),
                ServiceDemand(ServiceName("t"), runningRequests = 1),
            ),
            relayed = true,
        ),
    ).associateBy { it::class.simpleName.orEmpty() }
