package bergamotwall.gateway.http

import bergamotwall.standins.fakes.OddResponse
import bergamotwall.standins.fakes.RawTargetStandIn
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.TimeUnit

/** A malformed response is taken for a response of the target. */
internal class MalformedResponseTest {
    private val group = NioEventLoopGroup(1)
    private val client = TargetClient(group, NioSocketChannel::class.java)

    @AfterEach
    fun close() {
        client.close()
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync()
    }

    @ParameterizedTest
    @MethodSource("malformed")
    fun `a malformed response fails as one that may have run`(response: OddResponse) {
        val end = partsOf(response).last() as? ResponsePart.Broken
        expectThat(end?.mayHaveRun).isEqualTo(true)
        // Unlike a crash, which ends the connection.
        expectThat(end?.disconnected).isEqualTo(false)
        expectThat(client.responsesInDoubt(ResponseDoubt.MALFORMED)).isEqualTo(1)
    }

    @ParameterizedTest
    @MethodSource("rare")
    fun `a sound response is complete`(response: OddResponse) {
        val parts = partsOf(response)
        expectThat(parts.last()).isEqualTo(ResponsePart.End)
        expectThat((parts.first() as ResponsePart.Head).status.toString()).isEqualTo(response.status)
        expectThat(client.responsesInDoubt(ResponseDoubt.MALFORMED)).isEqualTo(0)
    }

    private fun partsOf(response: OddResponse): List<ResponsePart> =
        RawTargetStandIn { response.bytes(listOf("Id: r"), "body") }.use { target ->
            val identity = Header("Id", "r")
            val request = TargetRequest("POST", "/p", listOf(identity), "x".toByteArray(), identity)
            val exchange = client.send(target.address, request)
            runBlocking {
                withTimeout(TIMEOUT_MILLIS) { generateSequence { runBlocking { exchange.next() } }.toList() }
            }
        }

    companion object {
        private const val TIMEOUT_MILLIS = 10_000L

        @JvmStatic
        fun malformed(): List<OddResponse> = OddResponse.malformed

        @JvmStatic
        fun rare(): List<OddResponse> = OddResponse.rare
    }
}
