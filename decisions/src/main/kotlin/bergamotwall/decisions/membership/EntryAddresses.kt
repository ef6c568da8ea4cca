package bergamotwall.decisions.membership

import bergamotwall.decisions.hashOf
import bergamotwall.model.DataCentre
import bergamotwall.model.Member
import bergamotwall.model.MemberState
import bergamotwall.model.NodeRole

/**
 * Entries that a caller in [dataCentre] should use, in order of preference; never a leaving, suspected or dead one.
 *
 * Callers with the same [affinity], the name of a trainer or a prompt prefix, get the entries in the same order.
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
