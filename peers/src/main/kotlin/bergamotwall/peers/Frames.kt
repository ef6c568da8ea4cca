package bergamotwall.peers

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor

private const val MAX_FRAME_BYTES = 16 * 1024 * 1024

/** Bytes of a frame's length field. */
internal const val LENGTH_BYTES: Int = 4

@OptIn(ExperimentalSerializationApi::class)
private val format = Cbor { ignoreUnknownKeys = true }

/** CBOR form of [envelope]. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodeFrame(envelope: Envelope): ByteArray = format.encodeToByteArray(Envelope.serializer(), envelope)

/** Envelope of [bytes]; throws [SerializationException] if they are no envelope. */
@OptIn(ExperimentalSerializationApi::class)
internal fun decodeFrame(bytes: ByteArray): Envelope = format.decodeFromByteArray(Envelope.serializer(), bytes)

/** Writes a frame: its length, then its bytes. */
internal suspend fun ByteWriteChannel.writeFrame(bytes: ByteArray) {
    writeInt(bytes.size)
    writeByteArray(bytes)
    flush()
}

/** Reads a frame; throws [SerializationException] if its length is out of bounds. */
internal suspend fun ByteReadChannel.readFrame(): ByteArray {
    val size = readInt()
    if (size !in 1..MAX_FRAME_BYTES) throw SerializationException("frame of $size bytes")
    return readByteArray(size)
}
