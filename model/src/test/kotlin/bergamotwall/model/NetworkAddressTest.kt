package bergamotwall.model

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class NetworkAddressTest {
    @ParameterizedTest(name = "{0}: of a process {1}, of a server {2}")
    @CsvSource(
        "h:1, true, true",
        "h:65535, true, true",
        "h:0, false, true",
        "h:65536, false, false",
        "h:99999999999, false, false",
        "h:-1, false, false",
        "h:+1, false, false",
        "h:http, false, false",
        "h:, false, false",
        "h, false, false",
        ":1, false, false",
        "'a b:1', false, false",
        "[::1]:8080, true, true",
    )
    fun `an address has a host and a port in range, or port 0 for a server`(
        text: String,
        ofProcess: Boolean,
        ofServer: Boolean,
    ) {
        expectThat(NetworkAddress.parse(text) != null).isEqualTo(ofProcess)
        expectThat(runCatching { NetworkAddress.ofServer(text) }.isSuccess).isEqualTo(ofServer)
    }
}
