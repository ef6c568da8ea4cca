package bergamotwall.gateway.members

import bergamotwall.model.DataCentre
import bergamotwall.model.NodeId
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

internal class AssignedOwnerTest {
    /** Names of members start with "e" for entries and "r" for other processes, and end with "-" if not ready. */
    @ParameterizedTest(name = "among {0}: {1}")
    @CsvSource(
        "e1, e1",
        "e1- e2, e2",
        "e1 r1 r2 r3, e1",
        "e1- r1, r1",
        "e1- r1-, ''",
    )
    fun `the owner is a ready entry, or any ready process if no entry is ready`(
        names: String,
        expected: String,
    ) {
        expectThat(assignedOwnerOf(members(names), "route")?.id?.value.orEmpty()).isEqualTo(expected)
    }

    @Test
    fun `the loss of an entry reassigns only the routes that it owned`() {
        val before = members("e1 e2 e3 e4")
        val after = members("e1 e2 e3")
        val routes = (1..200).map { "route$it" }
        val reassigned = routes.filter { assignedOwnerOf(before, it) != assignedOwnerOf(after, it) }
        expectThat(reassigned).isEqualTo(routes.filter { assignedOwnerOf(before, it)?.id?.value == "e4" })
        expectThat(reassigned.size).isGreaterThan(0)
    }

    private fun members(names: String): MemberList =
        MemberList(
            names.split(' ').associate { name ->
                val id = NodeId(name.removeSuffix("-"))
                val front = id.value.takeIf { it.startsWith("e") }
                id to GatewayMember(id, 1, DataCentre("x"), "peer", front, ready = !name.endsWith("-"))
            },
        )
}
