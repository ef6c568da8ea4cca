package bergamotwall.gateway.batches

import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueError
import bergamotwall.model.ItemId
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock

/**
 * The bodies of the items of a large batch, which are read from its chunks in the key-value service when they are
 * needed. Chunk `i` begins at position `chunkStarts[i]` of the stored text, to which [places] refers. [chunk] reads a
 * chunk.
 */
internal class StoredBodies(
    private val chunkStarts: IntArray,
    private val places: Map<ItemId, BodyPlace>,
    private val chunk: suspend (Int) -> Result<KeyValueEntry, KeyValueError>,
) {
    private val reading = Mutex()

    /** The chunk that was read last, which often holds the bodies of the next items too. */
    private var lastNumber = -1
    private var lastText = ""

    /** Number of bytes of the body of [item]. */
    fun byteCount(item: ItemId): Int = places[item]?.byteCount ?: 0

    /** Reads the body of [item]; empty if the item has none. */
    suspend fun read(item: ItemId): Result<ByteArray, KeyValueError> =
        places[item]?.let { read(it) } ?: Ok(ByteArray(0))

    private suspend fun read(place: BodyPlace): Result<ByteArray, KeyValueError> {
        val bytes = ByteArray(place.byteCount ?: 0)
        val decoder = BodyDecoder(bytes)
        val end = place.start + place.length
        var position = place.start
        var error: KeyValueError? = null
        while (position < end && error == null) {
            val number = chunkAt(position)
            val start = chunkStarts[number]
            val text = textOf(number).fold({ it }, { return Err(it) })
            val to = minOf(text.length, end - start)
            for (index in position - start until to) decoder.add(text[index])
            if (start + to <= position) error = KeyValueError.Rejected("chunk $number is shorter than it was")
            position = start + to
        }
        return error?.let { Err(it) } ?: Ok(bytes)
    }

    /** Reads one chunk at a time: reading one takes several times its size. */
    private suspend fun textOf(number: Int): Result<String, KeyValueError> =
        reading.withLock {
            if (number == lastNumber) return Ok(lastText)
            chunk(number).map { entry ->
                lastNumber = number
                lastText = entry.value
                lastText
            }
        }

    private fun chunkAt(position: Int): Int {
        val found = chunkStarts.binarySearch(position)
        return if (found >= 0) found else -found - 2
    }
}
