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

/** Size of a frame's length prefix. */
internal const val LENGTH_BYTES: Int = 4

@OptIn(ExperimentalSerializationApi::class)
private val format = Cbor { ignoreUnknownKeys = true }

/** Encodes [envelope] as CBOR. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodeFrame(envelope: Envelope): ByteArray = format.encodeToByteArray(Envelope.serializer(), envelope)

/** Decodes an envelope; throws [SerializationException] if [bytes] are not one. */
@OptIn(ExperimentalSerializationApi::class)
internal fun decodeFrame(bytes: ByteArray): Envelope = format.decodeFromByteArray(Envelope.serializer(), bytes)

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
