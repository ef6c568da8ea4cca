package bergamotwall.gateway.intake

import io.netty.buffer.ByteBuf

/**
 * Bytes of a body of [expectedBytes], negative if unknown. The array has its final size once a quarter has arrived: a
 * body that never comes takes no memory, and one that does is copied little.
 */
internal class GrowingBytes(private val expectedBytes: Long) {
    private var array = ByteArray(0)
    private var size = 0

    fun add(part: ByteBuf) {
        val count = part.readableBytes()
        val needed = size + count
        if (needed > array.size) array = array.copyOf(capacityFor(needed))
        part.getBytes(part.readerIndex(), array, size, count)
        size = needed
    }

    /** The bytes; the last call. */
    fun take(): ByteArray = (if (array.size == size) array else array.copyOf(size)).also { clear() }

    fun clear() {
        array = ByteArray(0)
        size = 0
    }

    private fun capacityFor(needed: Int): Int {
        val doubled = maxOf(needed.toLong(), array.size * 2L, MIN_BYTES)
        return when {
            expectedBytes < needed -> doubled
            needed * EARLY_PARTS >= expectedBytes -> expectedBytes
            else -> doubled
        }.coerceAtMost(Int.MAX_VALUE.toLong()).toInt()
    }

    private companion object {
        private const val MIN_BYTES = 4_096L
        private const val EARLY_PARTS = 4L
    }
}
