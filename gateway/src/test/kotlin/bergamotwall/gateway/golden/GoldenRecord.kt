package bergamotwall.gateway.golden

import bergamotwall.gateway.crashes.StoredInterruption
import bergamotwall.gateway.limits.SharedLimit
import bergamotwall.gateway.members.GatewayMember
import bergamotwall.gateway.scaling.ScalingRecord
import bergamotwall.gateway.streams.StreamOrigin
import bergamotwall.model.BatchId
import bergamotwall.model.BatchOwnership
import bergamotwall.model.BatchRecord
import bergamotwall.model.DataCentre
import bergamotwall.model.ItemHeader
import bergamotwall.model.ItemId
import bergamotwall.model.ItemResult
import bergamotwall.model.ItemSpec
import bergamotwall.model.Jsons
import bergamotwall.model.ModelName
import bergamotwall.model.NodeId
import bergamotwall.model.RequestId
import bergamotwall.model.RewardCall
import bergamotwall.model.ServiceName
import bergamotwall.model.SoftwareVersion
import bergamotwall.model.WeightVersion
import bergamotwall.model.WorkspaceName
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer

/** An example of one kind of record that processes share through the key-value service. */
internal class GoldenRecord<T>(
    val name: String,
    private val serializer: KSerializer<T>,
    private val example: T,
    /** Folder of its oldest file. */
    val since: String = "3bad907",
) {
    /** The example as this build writes it. */
    fun encoded(): String = Jsons.wire.encodeToString(serializer, example)

    /** Whether this build reads the example from [text]. */
    fun isIn(text: String): Boolean = Jsons.wire.decodeFromString(serializer, text) == example

    override fun toString(): String = name
}

/** One record of each kind. */
internal val GOLDEN_RECORDS: List<GoldenRecord<*>> =
    listOf(
        GoldenRecord(
            "member",
            GatewayMember.serializer(),
            GatewayMember(NodeId("n"), 7, DataCentre("x"), "10.0.0.1:1", "10.0.0.1:2", true, "10.0.0.1:3", 0.75),
        ),
        GoldenRecord(
            "ownership",
            BatchOwnership.serializer(),
            BatchOwnership(NodeId("n"), 7, "nonce", 2, 16, 1_700_000_000_000, "drafts", true),
        ),
        GoldenRecord(
            "items",
            BatchRecord.serializer(),
            BatchRecord(
                BatchId("b"),
                "h.example",
                "/drafts/b",
                ModelName("m"),
                3,
                WeightVersion(2),
                4,
                listOf(
                    ItemSpec(ItemId("i1"), "g", "/drafts/1", listOf(ItemHeader("a", "b")), "AAAA", 940),
                    ItemSpec(
                        ItemId("i2"),
                        "g",
                        "/drafts/2",
                        emptyList(),
                        "",
                        1,
                        RewardCall(RequestId("c"), "h.example", "/score/2", "AAAA"),
                    ),
                ),
            ),
        ),
        GoldenRecord(
            "results",
            ListSerializer(ItemResult.serializer()),
            listOf(
                ItemResult(ItemId("i1"), false, "a\nb", listOf(WeightVersion(2), WeightVersion(3))),
                ItemResult(ItemId("i2"), false, "c", listOf(WeightVersion(3)), "signed"),
                ItemResult(ItemId("i3"), true, "", emptyList()),
            ),
        ),
        GoldenRecord(
            "interruption",
            StoredInterruption.serializer(),
            StoredInterruption(5, RequestId("r"), "ping", "/ping/1", NodeId("n")),
        ),
        GoldenRecord(
            "ownership-of-workspace",
            BatchOwnership.serializer(),
            BatchOwnership(
                NodeId("n"),
                7,
                "nonce",
                2,
                16,
                1_700_000_000_000,
                "drafts",
                workspace = WorkspaceName("w"),
            ),
            since = "workspaces",
        ),
        GoldenRecord(
            "items-of-workspace",
            BatchRecord.serializer(),
            BatchRecord(
                BatchId("b"),
                "h.example",
                "/drafts/b",
                null,
                3,
                WeightVersion(2),
                4,
                emptyList(),
                WorkspaceName("w"),
            ),
            since = "workspaces",
        ),
        GoldenRecord(
            "ordered-targets",
            ScalingRecord.serializer(),
            ScalingRecord(6, 2, 1_700_000_000_000),
            since = "scaling"
        ),
        GoldenRecord("limit", SharedLimit.serializer(), SharedLimit(12.5)),
        GoldenRecord(
            "stream-origin",
            StreamOrigin.serializer(),
            StreamOrigin(ServiceName("s"), SoftwareVersion("v1")),
        ),
    )
