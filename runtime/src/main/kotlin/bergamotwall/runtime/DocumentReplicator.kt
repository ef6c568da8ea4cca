package bergamotwall.runtime

import bergamotwall.decisions.adopt
import bergamotwall.model.Configuration
import bergamotwall.model.Documents
import bergamotwall.model.PublishedVersion
import bergamotwall.model.PullDocuments
import bergamotwall.model.VmList

/** The only writer of the replicated documents on [fleetState]. Adopts newer revisions and ignores older ones. */
public class DocumentReplicator(private val fleetState: FleetState, private val journal: Journal) {
    /** Adopts [offered] if its revision is higher than the current one; [cause] states where it came from. */
    public fun offer(
        offered: Configuration,
        cause: String,
    ) {
        val before = fleetState.configuration.read().revision
        val after = fleetState.configuration.update { adopt(it, offered) }.revision
        if (after > before) {
            journal.record(
                Decision("revision/${after.value}", "adopted", "a higher revision", cause, "previous ${before.value}")
            )
        }
    }

    /** Adopts [offered] if its revision is higher than the current one; [cause] states where it came from. */
    public fun offer(
        offered: VmList,
        cause: String,
    ) {
        val before = fleetState.vmList.read().revision
        val after = fleetState.vmList.update { if (offered.revision > it.revision) offered else it }.revision
        if (after > before) {
            journal.record(Decision("vm-list/$after", "adopted", "a higher revision", cause, "previous $before"))
        }
    }

    /** Adopts the versions that are newer than the known ones of their models. */
    public fun offer(offered: List<PublishedVersion>) {
        fleetState.published.update { it.merge(offered) }
    }

    /** The documents of which [request] names a lower revision than the current one. */
    public fun newerThan(request: PullDocuments): Documents {
        val configuration = fleetState.configuration.read()
        val vmList = fleetState.vmList.read()
        return Documents(
            configuration = configuration.takeIf { it.revision > request.configuration },
            vmList = vmList.takeIf { it.revision > request.vmList },
        )
    }
}
