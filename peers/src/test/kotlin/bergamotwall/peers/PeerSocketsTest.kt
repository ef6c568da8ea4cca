package bergamotwall.peers

import bergamotwall.model.Done
import bergamotwall.model.ExplainQuery
import bergamotwall.model.PeerMessage
import bergamotwall.model.StatusQuery
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.ServerSocket
import java.net.Socket
import java.nio.ByteBuffer

internal class PeerSocketsTest {
    private val echo =
        PeerHandler { message: PeerMessage, _ ->
            if (message is ExplainQuery) ExplainQuery("re: ${message.subject}") else Done
        }

    @Test
    fun `each of many concurrent requests gets its own response`(): Unit =
        runBlocking {
            PeerServer("127.0.0.1:0", echo).use { server ->
                PeerClient().use { client ->
                    val address = "127.0.0.1:${server.port}"
                    val responses = List(
                        500
                    ) { i -> async { client.sendRequest(address, ExplainQuery("$i"), TIMEOUT).get() } }.awaitAll()
                    expectThat(responses).isEqualTo(List(500) { ExplainQuery("re: $it") })
                }
            }
        }

    @Test
    fun `a connection without responses is replaced by a new one on the next request`(): Unit =
        runBlocking {
            val silent = ServerSocket(0)
            val address = "127.0.0.1:${silent.localPort}"
            PeerClient().use { client ->
                val first = client.sendRequest(address, StatusQuery, SHORT_TIMEOUT)
                expectThat(first.getError()).isA<PeerError.NoResponse>()
                silent.accept().use {
                    silent.close()
                    PeerServer(address, echo).use {
                        expectThat(client.sendRequest(address, StatusQuery, TIMEOUT).get()).isEqualTo(Done)
                    }
                }
            }
        }

    @Test
    fun `a stopped peer is unreachable, and can be reached again after a restart`(): Unit =
        runBlocking {
            PeerClient().use { client ->
                val server = PeerServer("127.0.0.1:0", echo)
                val address = "127.0.0.1:${server.port}"
                expectThat(client.sendRequest(address, StatusQuery, TIMEOUT).get()).isEqualTo(Done)
                server.close()
                expectThat(client.sendRequest(address, StatusQuery, TIMEOUT).isOk).isFalse()
                expectThat(client.sendRequest(address, StatusQuery, TIMEOUT).getError()).isA<PeerError.Unreachable>()
                PeerServer(address, echo).use {
                    expectThat(client.sendRequest(address, StatusQuery, TIMEOUT).get()).isEqualTo(Done)
                }
            }
        }

    @Test
    fun `a pending request fails as soon as the connection to its peer closes`(): Unit =
        runBlocking {
            val received = CompletableDeferred<Unit>()
            val server =
                PeerServer("127.0.0.1:0") { _, _ ->
                    received.complete(Unit)
                    CompletableDeferred<PeerMessage>().await()
                }
            PeerClient().use { client ->
                val response = async { client.sendRequest("127.0.0.1:${server.port}", StatusQuery, HOUR) }
                received.await()
                server.close()
                expectThat(response.await().getError()).isA<PeerError.NoResponse>()
            }
        }

    /** Before the third request, the peer responds to the first, which its caller gives up, and again to the second. */
    @Test
    fun `a late or repeated response is not that to another request`(): Unit =
        runBlocking {
            ServerSocket(0).use { peer ->
                val received = CompletableDeferred<Unit>()
                val serving = launch(Dispatchers.IO) { serveLate(peer, received) }
                PeerClient().use { client ->
                    val address = "127.0.0.1:${peer.localPort}"
                    val first = async { client.sendRequest(address, ExplainQuery("1"), HOUR) }
                    received.await()
                    expectThat(client.sendRequest(address, ExplainQuery("2"), TIMEOUT).get()).isEqualTo(re("2"))
                    first.cancelAndJoin()
                    expectThat(client.sendRequest(address, ExplainQuery("3"), TIMEOUT).get()).isEqualTo(re("3"))
                }
                serving.join()
            }
        }

    /** Reads three requests on one connection; responds to the second, then to all of them. */
    private fun serveLate(
        server: ServerSocket,
        received: CompletableDeferred<Unit>,
    ) = server.accept().use { socket ->
        val input = DataInputStream(socket.getInputStream())
        val requests =
            List(3) { index ->
                val request = decodeFrame(input.readNBytes(input.readInt())).envelope
                if (index == 0) received.complete(Unit)
                if (index == 1) respond(socket, request)
                request
            }
        requests.forEach { respond(socket, it) }
    }

    private fun respond(
        socket: Socket,
        request: Envelope,
    ) {
        val frame = encodeFrame(Envelope(request.id, true, null, re((request.body as ExplainQuery).subject)))
        val output = DataOutputStream(socket.getOutputStream())
        output.writeInt(frame.size)
        output.write(frame)
    }

    private fun re(subject: String) = ExplainQuery("re: $subject")

    @ParameterizedTest
    @ValueSource(ints = [-1, 0, 3, 100_000_000])
    fun `a malformed frame closes its own connection only`(length: Int): Unit =
        runBlocking {
            PeerServer("127.0.0.1:0", echo).use { server ->
                Socket("127.0.0.1", server.port).use { socket ->
                    socket.getOutputStream().write(ByteBuffer.allocate(8).putInt(length).putInt(0x7f7f7f7f).array())
                    expectThat(socket.getInputStream().read()).isEqualTo(-1)
                }
                PeerClient().use { client ->
                    expectThat(
                        client.sendRequest("127.0.0.1:${server.port}", StatusQuery, TIMEOUT).get()
                    ).isEqualTo(Done)
                }
            }
        }

    private companion object {
        private const val TIMEOUT = 20_000L
        private const val SHORT_TIMEOUT = 200L
        private const val HOUR = 3_600_000L
    }
}
