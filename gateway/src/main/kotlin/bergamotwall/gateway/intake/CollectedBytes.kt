package bergamotwall.gateway.intake

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator

/**
 * The bytes of a body while it arrives, outside the heap: a heap of 96 MB has no room for a body of 32 MiB beside its
 * parts, or beside an array of its declared length that another client never fills.
 */
internal class CollectedBytes(private val allocator: ByteBufAllocator = ByteBufAllocator.DEFAULT) {
    private val parts = ArrayDeque<ByteBuf>()

    /** Number of bytes. */
    var size = 0
        private set

    fun add(part: ByteBuf) {
        size += part.readableBytes()
        while (part.isReadable) {
            val last = parts.lastOrNull()?.takeIf { it.isWritable } ?: nextPart().also { parts.addLast(it) }
            last.writeBytes(part, minOf(part.readableBytes(), last.writableBytes()))
        }
    }

    /** The bytes in an array. They are not kept. */
    fun take(): ByteArray {
        val array = ByteArray(size)
        var index = 0
        while (parts.isNotEmpty()) {
            val part = parts.removeFirst()
            val count = part.readableBytes()
            part.readBytes(array, index, count)
            part.release()
            index += count
        }
        size = 0
        return array
    }

    /** The [length] bytes from [start] on, each as one character. */
    fun text(
        start: Int,
        length: Int,
    ): String {
        val array = ByteArray(length)
        var copied = 0
        var partStart = 0
        for (part in parts) {
            if (copied == length) break
            val from = start + copied - partStart
            val count = minOf(part.readableBytes() - from, length - copied)
            if (count > 0) {
                part.getBytes(part.readerIndex() + from, array, copied, count)
                copied += count
            }
            partStart += part.readableBytes()
        }
        return String(array, Charsets.ISO_8859_1)
    }

    /** Drops the bytes. */
    fun clear() {
        parts.forEach { it.release() }
        parts.clear()
        size = 0
    }

    private fun nextPart(): ByteBuf {
        val capacity = size.coerceIn(MIN_PART_BYTES, MAX_PART_BYTES)
        return allocator.directBuffer(capacity, capacity)
    }

    private companion object {
        private const val MIN_PART_BYTES = 1_024
        private const val MAX_PART_BYTES = 65_536
    }
}
