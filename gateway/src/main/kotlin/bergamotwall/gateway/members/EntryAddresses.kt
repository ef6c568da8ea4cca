package bergamotwall.gateway.members

import bergamotwall.model.DataCentre

/**
 * Addresses that a caller in [dataCentre] should use: entries of its own data centre if there are at least two, so that
 * one can fail, else all that are ready.
 */
public fun entryAddresses(
    members: MemberList,
    dataCentre: DataCentre?,
): List<String> {
    val ready = members.members.values.filter { it.ready && it.frontAddress != null }
    val near = ready.filter { it.dataCentre == dataCentre }
    return (if (near.size >= MIN_NEAR) near else ready).mapNotNull { it.frontAddress }
}

private const val MIN_NEAR = 2
