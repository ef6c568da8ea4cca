package bergamotwall.gateway.batches

import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueError
import bergamotwall.model.ItemId
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold

/**
 * The bodies of the items of a large batch, which are read from its chunks in the key-value service when they are
 * needed. Chunk `i` begins at position `chunkStarts[i]` of the stored text, to which [places] refers; [chunk] reads one.
 */
internal class StoredBodies(
    private val chunkStarts: IntArray,
    private val places: Map<ItemId, BodyPlace>,
    private val chunk: suspend (Int) -> Result<KeyValueEntry, KeyValueError>,
) {
    /** Number of bytes of the body of [item]. */
    fun byteCount(item: ItemId): Int = places[item]?.byteCount ?: 0

    /** Reads the body of [item]; empty if the item has none. */
    suspend fun read(item: ItemId): Result<ByteArray, KeyValueError> {
        val place = places[item] ?: return Ok(ByteArray(0))
        val bytes = ByteArray(place.byteCount ?: 0)
        val decoder = BodyDecoder(bytes)
        val end = place.start + place.length
        var position = place.start
        while (position < end) {
            val number = chunkAt(position)
            val text = chunk(number).fold({ it.value }, { return Err(it) })
            val from = position - chunkStarts[number]
            val to = minOf(text.length, end - chunkStarts[number])
            if (to <= from) return Err(KeyValueError.Rejected("chunk $number is shorter than it was"))
            for (index in from until to) decoder.add(text[index])
            position += to - from
        }
        return Ok(bytes)
    }

    private fun chunkAt(position: Int): Int {
        val found = chunkStarts.binarySearch(position)
        return if (found >= 0) found else -found - 2
    }
}
