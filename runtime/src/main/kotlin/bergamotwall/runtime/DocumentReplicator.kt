package bergamotwall.runtime

import bergamotwall.decisions.membership.adopt
import bergamotwall.model.Configuration
import bergamotwall.model.Documents
import bergamotwall.model.PublishedVersion
import bergamotwall.model.PullDocuments
import bergamotwall.model.VmList

/** The only writer of the replicated documents in [fleetState]. Adopts newer revisions and ignores older ones. */
public class DocumentReplicator(private val fleetState: FleetState, private val journal: Journal) {
    /** Adopts [candidate] if its revision is higher than the current one; [cause] states where it came from. */
    public fun adoptIfNewer(
        candidate: Configuration,
        cause: String,
    ) {
        val before = fleetState.configuration.read().revision
        val after = fleetState.configuration.update { adopt(it, candidate) }.revision
        if (after > before) {
            journal.record(
                Decision("revision/${after.value}", "adopted", "a higher revision", cause, "previous ${before.value}")
            )
        }
    }

    /** Adopts [candidate] if its revision is higher than the current one; [cause] states where it came from. */
    public fun adoptIfNewer(
        candidate: VmList,
        cause: String,
    ) {
        val before = fleetState.vmList.read().revision
        val after = fleetState.vmList.update { if (candidate.revision > it.revision) candidate else it }.revision
        if (after > before) {
            journal.record(Decision("vm-list/$after", "adopted", "a higher revision", cause, "previous $before"))
        }
    }

    /** Adopts the versions that are newer than the known ones of their models. */
    public fun adoptIfNewer(candidate: List<PublishedVersion>) {
        fleetState.published.update { it.merge(candidate) }
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
