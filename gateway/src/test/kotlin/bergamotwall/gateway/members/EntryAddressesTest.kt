package bergamotwall.gateway.members

import bergamotwall.model.DataCentre
import bergamotwall.model.NodeId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class EntryAddressesTest {
    @ParameterizedTest(name = "entries {0}, caller in {1}: {2}")
    @CsvSource(
        "x1 x2 y3, x, x1 x2",
        // A single local entry may fail, so all entries are returned.
        "x1 y2 y3, x, x1 y2 y3",
        "x1 x2 y3, z, x1 x2 y3",
        // Entries that are starting or shutting down are left out.
        "x1 x2- x3 y4, x, x1 x3",
        "x1- x2- y3, x, y3",
    )
    fun `returns entries of the caller's data centre if at least two are ready, otherwise all`(
        entries: String,
        dataCentre: String,
        expected: String,
    ) {
        val members =
            entries.split(' ').map { name ->
                val id = name.removeSuffix("-")
                val ready = !name.endsWith("-")
                GatewayMember(NodeId(id), 1, DataCentre(id.take(1)), "peer", id, ready)
            }
        val addresses = entryAddresses(MemberList(members.associateBy { it.id }), DataCentre(dataCentre))
        expectThat(addresses.sorted().joinToString(" ")).isEqualTo(expected)
    }
}
