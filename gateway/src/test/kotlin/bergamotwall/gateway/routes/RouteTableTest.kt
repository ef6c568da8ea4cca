package bergamotwall.gateway.routes

import bergamotwall.model.ConfigurationRevision
import bergamotwall.model.ServiceName
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class RouteTableTest {
    private val table =
        RouteTable(
            ConfigurationRevision(1),
            listOf(route("all", "h", "/"), route("a", "h", "/a/"), route("ab", "h", "/a/b/"), route("o", "o", "/a/")),
        )

    @ParameterizedTest(name = "{0}{1}: {2}")
    @CsvSource(
        "h, /a/b/c, ab",
        "h, /a/bc, a",
        "h, /x, all",
        "o, /a/b/c, o",
        "o, /b, ''",
        "none, /a/, ''",
    )
    fun `the route with the longest matching prefix of the host is chosen`(
        host: String,
        path: String,
        expected: String,
    ) {
        expectThat(table.find(host, path)?.name.orEmpty()).isEqualTo(expected)
    }

    private fun route(
        name: String,
        host: String,
        prefix: String,
    ) = Route(
        name = name,
        host = host,
        pathPrefix = prefix,
        kind = RouteKind.IDEMPOTENT,
        timeoutMillis = 1_000,
        targetLatencyMillis = 100,
        priority = 0,
        maxAttempts = 2,
        resumable = false,
        shares = listOf(ServiceShare(ServiceName("s"), 1)),
    )
}
