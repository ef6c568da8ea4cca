package bergamotwall.runtime

import bergamotwall.model.Configuration
import bergamotwall.model.CrashRecord
import bergamotwall.model.Member
import bergamotwall.model.VmList

/**
 * State of the fleet as this process knows it. Each section is an immutable snapshot that any thread may read; only the
 * named writers replace it.
 */
public class FleetState {
    /** Confirmed configuration; written by [DocumentReplicator]. */
    public val configuration: AtomicSnapshot<Configuration> = AtomicSnapshot(Configuration())

    /** VM list; written by [DocumentReplicator]. */
    public val vmList: AtomicSnapshot<VmList> = AtomicSnapshot(VmList())

    /** Published weight versions; written by [DocumentReplicator]. */
    public val published: AtomicSnapshot<PublishedVersions> = AtomicSnapshot(PublishedVersions())

    /** Processes of the fleet, including this one; written by [MembershipLoop]. */
    public val members: AtomicSnapshot<List<Member>> = AtomicSnapshot(emptyList())

    /** Crash evidence, received by gossip or collected here; written by [MembershipLoop] and the dispatch shards. */
    public val crashes: AtomicSnapshot<List<CrashRecord>> = AtomicSnapshot(emptyList())
}
