package bergamotwall.samples

import java.nio.ByteBuffer
import java.nio.channels.FileChannel

/** Channel that passes everything on to [inner]. */
internal abstract class ForwardingChannel(private val inner: FileChannel) : FileChannel() {
    override fun write(
        src: ByteBuffer,
        position: Long,
    ): Int = inner.write(src, position)

    override fun truncate(size: Long): FileChannel = apply { inner.truncate(size) }

    override fun force(metaData: Boolean) = inner.force(metaData)

    override fun implCloseChannel() = inner.close()

    override fun read(dst: ByteBuffer): Int = inner.read(dst)

    override fun read(
        dsts: Array<ByteBuffer>,
        offset: Int,
        length: Int,
    ): Long = inner.read(dsts, offset, length)

    override fun read(
        dst: ByteBuffer,
        position: Long,
    ): Int = inner.read(dst, position)

    override fun write(src: ByteBuffer): Int = inner.write(src)

    override fun write(
        srcs: Array<ByteBuffer>,
        offset: Int,
        length: Int,
    ): Long = inner.write(srcs, offset, length)

    override fun position(): Long = inner.position()

    override fun position(newPosition: Long): FileChannel = apply { inner.position(newPosition) }

    override fun size(): Long = inner.size()

    override fun transferTo(
        position: Long,
        count: Long,
        target: java.nio.channels.WritableByteChannel,
    ): Long = inner.transferTo(position, count, target)

    override fun transferFrom(
        src: java.nio.channels.ReadableByteChannel,
        position: Long,
        count: Long,
    ): Long = inner.transferFrom(src, position, count)

    override fun map(
        mode: MapMode,
        position: Long,
        size: Long,
    ): java.nio.MappedByteBuffer = inner.map(mode, position, size)

    override fun lock(
        position: Long,
        size: Long,
        shared: Boolean,
    ): java.nio.channels.FileLock = inner.lock(position, size, shared)

    override fun tryLock(
        position: Long,
        size: Long,
        shared: Boolean,
    ): java.nio.channels.FileLock? = inner.tryLock(position, size, shared)
}
