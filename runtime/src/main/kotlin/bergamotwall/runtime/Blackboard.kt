package bergamotwall.runtime

import bergamotwall.model.Configuration
import bergamotwall.model.CrashRecord
import bergamotwall.model.Member
import bergamotwall.model.VmList

/** What this process knows of the fleet. Controllers read all sections and write their own. */
public class Blackboard {
    /** Confirmed configuration; written by [DocumentKeeper]. */
    public val configuration: Section<Configuration> = Section(Configuration())

    /** VM list; written by [DocumentKeeper]. */
    public val vmList: Section<VmList> = Section(VmList())

    /** Published weight versions; written by [DocumentKeeper]. */
    public val published: Section<PublishedVersions> = Section(PublishedVersions())

    /** Members, this process included; written by [MemberLoop]. */
    public val members: Section<List<Member>> = Section(emptyList())

    /** Crash evidence heard or found; written by [MemberLoop] and the dispatch shards. */
    public val crashes: Section<List<CrashRecord>> = Section(emptyList())
}
