package bergamotwall.cli

import bergamotwall.standins.fakes.OddResponse
import bergamotwall.standins.fakes.RawTargetStandIn
import kotlinx.serialization.builtins.serializer
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** A malformed response is taken for a controller's. */
internal class MalformedControllerResponseTest {
    @ParameterizedTest
    @MethodSource("malformed")
    fun `a controller whose response is malformed has not responded`(response: OddResponse) {
        expectThat(isOk(response)).isEqualTo(false)
    }

    @ParameterizedTest
    @MethodSource("rare")
    fun `a sound response is read`(response: OddResponse) {
        expectThat(isOk(response)).isEqualTo(response.status.startsWith("2"))
    }

    private fun isOk(response: OddResponse): Boolean =
        RawTargetStandIn { response.bytes(listOf("Server: s"), "1") }.use { controller ->
            ControllerClient(listOf(controller.address)).get("/x", Int.serializer()).isOk
        }

    companion object {
        @JvmStatic
        fun malformed(): List<OddResponse> = OddResponse.malformed

        @JvmStatic
        fun rare(): List<OddResponse> = OddResponse.rare
    }
}
