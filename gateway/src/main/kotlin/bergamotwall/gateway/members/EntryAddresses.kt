package bergamotwall.gateway.members

import bergamotwall.model.DataCentre

/**
 * Addresses of the entries (processes that callers connect to) that a caller in [dataCentre] should use: the ready
 * entries of its own data centre if there are at least two, so that one may fail, otherwise all ready entries.
 */
public fun entryAddresses(
    members: MemberList,
    dataCentre: DataCentre?,
): List<String> {
    val ready = members.members.values.filter { it.ready && it.frontAddress != null }
    val local = ready.filter { it.dataCentre == dataCentre }
    return (if (local.size >= MIN_LOCAL) local else ready).mapNotNull { it.frontAddress }
}

private const val MIN_LOCAL = 2
