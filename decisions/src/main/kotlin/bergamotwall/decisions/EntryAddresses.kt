package bergamotwall.decisions

import bergamotwall.model.DataCentre
import bergamotwall.model.Member
import bergamotwall.model.MemberState
import bergamotwall.model.NodeRole

/**
 * Entries that a caller in [dataCentre] should use, best first; never a leaving, suspected or dead one.
 *
 * [affinity], the name of a trainer or a prompt prefix, steers equal callers to equal entries.
 */
public fun entryAddresses(
    members: Collection<Member>,
    dataCentre: DataCentre?,
    affinity: String,
): List<Member> =
    members
        .filter { it.role == NodeRole.ENTRY && it.state == MemberState.ALIVE }
        .sortedWith(
            compareBy<Member> { if (dataCentre == null || it.dataCentre == dataCentre) 0 else 1 }
                .thenByDescending { hashOf("$affinity@${it.id.value}") },
        )
