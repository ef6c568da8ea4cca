package bergamotwall.peers

import bergamotwall.model.Done
import bergamotwall.model.PeerRefusal
import bergamotwall.model.StatusQuery
import com.github.michaelbull.result.get
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** A message of another build that this one does not know is refused; other requests on its connection go on. */
@OptIn(ExperimentalSerializationApi::class)
internal class UnknownMessageTest {
    /** How another build might encode an envelope. */
    @Serializable
    private data class OtherEnvelope(
        @SerialName("i") val id: Long,
        @SerialName("a") val isResponse: Boolean,
        @SerialName("b") val body: List<String>,
        @SerialName("x") val added: Map<String, Int> = emptyMap(),
    )

    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = ["an unknown message", "a body of another shape"])
    fun `a server responds to each request`(body: String): Unit =
        runBlocking {
            PeerServer("127.0.0.1:0", PeerHandler { _, _ -> Done }).use { server ->
                Socket("127.0.0.1", server.port).use { socket ->
                    val output = DataOutputStream(socket.getOutputStream())
                    val input = DataInputStream(socket.getInputStream())
                    write(output, otherFrame(7, isResponse = false, body))
                    val refused = readEnvelope(input)
                    expectThat(refused.id).isEqualTo(7)
                    expectThat(refused.body).isA<PeerRefusal>()
                    write(output, encodeFrame(Envelope(8, false, null, StatusQuery)))
                    expectThat(readEnvelope(input)).isEqualTo(Envelope(8, true, null, Done))
                }
            }
        }

    @Test
    fun `a client gets the responses to its other requests`(): Unit =
        runBlocking {
            ServerSocket(0).use { server ->
                thread(isDaemon = true) { respondToTwo(server) }
                PeerClient().use { client ->
                    val address = "127.0.0.1:${server.localPort}"
                    val first = async { client.sendRequest(address, StatusQuery, TIMEOUT).get() }
                    val second = async { client.sendRequest(address, StatusQuery, TIMEOUT).get() }
                    expectThat(setOf(first.await()!!::class, second.await()!!::class))
                        .isEqualTo(setOf(PeerRefusal::class, Done::class))
                }
            }
        }

    /** Responds to the first request with an unknown message, and to the second one. */
    private fun respondToTwo(server: ServerSocket) {
        server.accept().use { socket ->
            val input = DataInputStream(socket.getInputStream())
            val output = DataOutputStream(socket.getOutputStream())
            val ids = List(2) { readEnvelope(input).id }
            write(output, otherFrame(ids[0], isResponse = true, "an unknown message"))
            write(output, encodeFrame(Envelope(ids[1], true, null, Done)))
            input.read()
        }
    }

    private fun otherFrame(
        id: Long,
        isResponse: Boolean,
        body: String,
    ): ByteArray =
        if (body == "an unknown message") {
            renamed(encodeFrame(Envelope(id, isResponse, null, StatusQuery)))
        } else {
            Cbor.encodeToByteArray(OtherEnvelope.serializer(), OtherEnvelope(id, isResponse, listOf("x")))
        }

    /** Changes the name of the message, `tq`, to one that does not exist. */
    private fun renamed(frame: ByteArray): ByteArray {
        val text = String(frame, Charsets.ISO_8859_1)
        check("btq" in text)
        return text.replace("btq", "bzz").toByteArray(Charsets.ISO_8859_1)
    }

    private fun write(
        output: DataOutputStream,
        frame: ByteArray,
    ) {
        output.writeInt(frame.size)
        output.write(frame)
        output.flush()
    }

    private fun readEnvelope(input: DataInputStream): Envelope =
        decodeFrame(input.readNBytes(input.readInt())).envelope

    private companion object {
        private const val TIMEOUT = 20_000L
    }
}
