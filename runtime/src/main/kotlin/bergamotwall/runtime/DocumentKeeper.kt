package bergamotwall.runtime

import bergamotwall.decisions.adopt
import bergamotwall.model.Configuration
import bergamotwall.model.Documents
import bergamotwall.model.PublishedVersion
import bergamotwall.model.PullDocuments
import bergamotwall.model.VmList

/** The one writer of the spread documents: adopts what is newer, never what is older. */
public class DocumentKeeper(private val board: Blackboard, private val journal: Journal) {
    /** Adopts [offered] if its revision is higher; [cause] says where it came from. */
    public fun offer(
        offered: Configuration,
        cause: String,
    ) {
        val before = board.configuration.read().revision
        val after = board.configuration.update { adopt(it, offered) }.revision
        if (after > before) {
            journal.record(
                Decision("revision/${after.value}", "adopted", "a higher revision", cause, "held ${before.value}")
            )
        }
    }

    /** Adopts [offered] if its revision is higher. */
    public fun offer(
        offered: VmList,
        cause: String,
    ) {
        val before = board.vmList.read().revision
        val after = board.vmList.update { if (offered.revision > it.revision) offered else it }.revision
        if (after > before) {
            journal.record(Decision("vm-list/$after", "adopted", "a higher revision", cause, "held $before"))
        }
    }

    /** Takes the higher of each version. */
    public fun offer(offered: List<PublishedVersion>) {
        board.published.update { it.merge(offered) }
    }

    /** What the asker has at lower revisions. */
    public fun answer(asked: PullDocuments): Documents {
        val configuration = board.configuration.read()
        val vmList = board.vmList.read()
        return Documents(
            configuration = configuration.takeIf { it.revision > asked.configuration },
            vmList = vmList.takeIf { it.revision > asked.vmList },
        )
    }
}
