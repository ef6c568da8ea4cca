package bergamotwall.cli

import bergamotwall.model.FleetStatus
import bergamotwall.model.TrainerStatus
import picocli.CommandLine.Command
import picocli.CommandLine.Help
import picocli.CommandLine.Help.Column
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.ParentCommand
import picocli.CommandLine.Spec
import java.util.concurrent.Callable

private const val COLUMN_GAP = 2
private const val PERCENT = 100

/** Prints the state of the fleet: trainers, dispatch shards, members and targets. */
@Command(
    name = "status",
    description = ["Show trainers, shards, members and targets."],
    mixinStandardHelpOptions = true
)
internal class StatusCommand : Callable<Int> {
    @ParentCommand
    private lateinit var root: RootCommand

    @Spec
    private lateinit var spec: CommandSpec

    override fun call(): Int {
        val status = root.client.get("/v1/operator/status", FleetStatus.serializer())
        return root.printResult(status, FleetStatus.serializer(), spec.commandLine().out, ::statusText)
    }
}

/** Formats [status] as tables. */
internal fun statusText(status: FleetStatus): String {
    val published = status.published.joinToString { "${it.model.value} at ${it.version.value}" }
    return listOf(
        "configuration revision ${status.configuration.revision.value}; published: $published",
        table(trainerColumns, status.nodes.flatMap { it.trainers }.map(::trainerRow)),
        table(
            shardColumns,
            status.nodes.flatMap { n ->
                n.shards.map {
                    listOf(it.shard, n.node.value, it.targets, it.queued, it.running, it.capacity, it.reserved)
                }
            }
        ),
        table(
            memberColumns,
            status.members.map { m ->
                listOf(m.id.value, m.role, m.dataCentre.value, m.state, m.httpAddress, dutiesOf(status, m.id.value))
            }
        ),
        table(
            vmColumns,
            status.vms.map { v ->
                listOf(v.id, v.serves, v.dataCentre.value, v.address, vmStateOf(status, v.id, v.leaving))
            }
        ),
    ).joinToString("\n")
}

private val trainerColumns = listOf("TRAINER", "BATCH", "READY", "IDLE", "STALENESS", "EXPIRED", "WAITS FOR")
private val shardColumns = listOf("SHARD", "OWNER", "TARGETS", "QUEUED", "RUNNING", "CAPACITY", "RESERVED")
private val memberColumns = listOf("MEMBER", "ROLE", "DATA CENTRE", "STATE", "ADDRESS", "DUTIES")
private val vmColumns = listOf("TARGET", "SERVES", "DATA CENTRE", "ADDRESS", "STATE")

private fun trainerRow(t: TrainerStatus): List<Any> {
    val idle = if (t.observedMillis == 0L) 0 else t.idleMillis * PERCENT / t.observedMillis
    val missing = if (t.ready < t.wanted) "${t.wanted - t.ready} samples" else "nothing"
    return listOf(
        t.name.value,
        t.batch,
        "${t.ready}/${t.wanted}",
        "$idle%",
        "${t.stalenessVersions} versions",
        t.expired,
        missing
    )
}

private fun dutiesOf(
    status: FleetStatus,
    node: String,
): String = status.nodes.find { it.node.value == node }?.duties.orEmpty().joinToString()

private fun vmStateOf(
    status: FleetStatus,
    id: String,
    leaving: Boolean,
): String =
    when {
        status.configuration.drains(id) -> "drained"
        leaving -> "leaving"
        else -> "serving"
    }

@Suppress("SpreadOperator") // picocli takes the columns as varargs
private fun table(
    header: List<String>,
    rows: List<List<Any>>,
): String {
    val lines = listOf(header) + rows.map { row -> row.map { it.toString() } }
    val columns =
        header.indices
            .map { i -> Column(lines.maxOf { it[i].length } + COLUMN_GAP, 0, Column.Overflow.SPAN) }
            .toTypedArray()
    val table = Help.TextTable.forColumns(Help.defaultColorScheme(Help.Ansi.OFF), *columns)
    lines.forEach { table.addRowValues(*it.toTypedArray()) }
    return table.toString()
}
