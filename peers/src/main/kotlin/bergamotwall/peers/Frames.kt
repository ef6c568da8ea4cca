package bergamotwall.peers

import bergamotwall.model.PeerRefusal
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.tinylog.Logger

private const val MAX_FRAME_BYTES = 16 * 1024 * 1024

/** Size of a frame's length prefix. */
internal const val LENGTH_BYTES: Int = 4

@OptIn(ExperimentalSerializationApi::class)
private val format = Cbor { ignoreUnknownKeys = true }

/** Encodes [envelope] as CBOR. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodeFrame(envelope: Envelope): ByteArray = format.encodeToByteArray(Envelope.serializer(), envelope)

/**
 * Decodes an envelope. If its body can't be decoded, because another build of the program has written it, the body is a
 * [PeerRefusal] that says so. Throws [SerializationException] if [bytes] are no envelope.
 */
@OptIn(ExperimentalSerializationApi::class)
internal fun decodeFrame(bytes: ByteArray): DecodedFrame =
    try {
        DecodedFrame(format.decodeFromByteArray(Envelope.serializer(), bytes), true)
    } catch (e: IllegalArgumentException) { // also the type of a SerializationException
        val head = format.decodeFromByteArray(EnvelopeHead.serializer(), bytes)
        val detail = "message not known to this build: ${e.message?.lineSequence()?.firstOrNull()}"
        Logger.warn("event=peer_message_unknown response={} cause=\"{}\"", head.isResponse, detail)
        val refusal = PeerRefusal(Problem(ProblemKind.BAD_REQUEST, detail))
        DecodedFrame(Envelope(head.id, head.isResponse, null, refusal), false)
    }

/** An [envelope] and whether its body was [understood]. */
internal class DecodedFrame(val envelope: Envelope, val understood: Boolean)

/** Writes a frame: its length prefix, then [bytes]. */
internal suspend fun ByteWriteChannel.writeFrame(bytes: ByteArray) {
    writeInt(bytes.size)
    writeByteArray(bytes)
    flush()
}

/** Reads a frame; throws [SerializationException] if its length is zero, negative or above the maximum. */
internal suspend fun ByteReadChannel.readFrame(): ByteArray {
    val size = readInt()
    if (size !in 1..MAX_FRAME_BYTES) throw SerializationException("invalid frame length: $size bytes")
    return readByteArray(size)
}
