package bergamotwall.samples

import bergamotwall.model.Sample
import bergamotwall.model.SampleId
import bergamotwall.model.TrainerName
import bergamotwall.model.WeightVersion
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.io.File
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel

/** A VM loses power, and its disk everything that was not synced; or its disk is full and refuses every write. */
internal class PowerLossTest {
    @TempDir
    lateinit var folder: File

    private val trainer = TrainerName("t")

    @ParameterizedTest(name = "power is lost after {0} operations")
    @ValueSource(ints = [0, 1, 2, 3, 4, 1_100, 1_101, 1_102])
    fun `what was acknowledged is there after the loss of everything unsynced`(operations: Int) {
        val disk = Disk()
        val stored = HashSet<String>()
        SampleLog(folder, disk).use { log ->
            repeat(operations) { number ->
                val batch = 1L + number / SAMPLES_PER_BATCH
                if (number % SAMPLES_PER_BATCH == 0 && log.release(trainer, batch - 1).isOk) stored.clear()
                if (log.append(trainer, batch, listOf(sample("$number"))).isOk) stored += "$number"
            }
            disk.writeUnsynced()
        }
        disk.losePower()
        SampleLog(folder).use { log ->
            val batch = 1L + (operations - 1).coerceAtLeast(0) / SAMPLES_PER_BATCH
            expectThat(log.find(trainer, batch).map { it.id.value }).containsExactlyInAnyOrder(stored)
            if (batch > 1) expectThat(log.find(trainer, batch - 1)).isEmpty()
        }
    }

    @Test
    fun `a disk that refuses every write fails each append, and serves what it has`() {
        val disk = Disk()
        SampleLog(folder, disk).use { log ->
            expectThat(log.append(trainer, 1, listOf(sample("a"))).isOk).isTrue()
            disk.full = true
            repeat(3) { expectThat(log.append(trainer, 1, listOf(sample("b$it"))).isOk).isFalse() }
            expectThat(log.find(trainer, 1).map { it.id.value }).isEqualTo(listOf("a"))
            disk.full = false
            expectThat(log.append(trainer, 1, listOf(sample("c"))).isOk).isTrue()
        }
        disk.losePower()
        SampleLog(folder).use { expectThat(it.find(trainer, 1).map { s -> s.id.value }).isEqualTo(listOf("a", "c")) }
    }

    private fun sample(id: String) = Sample(SampleId(id), 0, listOf(WeightVersion(1)), "text", 1, emptyList())

    /** Files that hold, after [losePower], what their last sync covered. */
    private inner class Disk : FileOpener {
        private val synced = HashMap<File, ByteArray>()
        private val channels = ArrayList<FileChannel>()

        /** Whether every write, cut and sync is refused. */
        var full = false

        override fun open(file: File): FileChannel =
            SyncedChannel(localFiles.open(file).also { channels += it }) { synced[file] = file.readBytes() }

        fun writeUnsynced() {
            channels.forEach { it.write(ByteBuffer.wrap("torn".toByteArray()), it.size()) }
        }

        fun losePower() {
            folder.listFiles().orEmpty().forEach { file ->
                val content = synced[file]
                if (content == null) file.delete() else file.writeBytes(content)
            }
        }

        private inner class SyncedChannel(private val inner: FileChannel, private val onSync: () -> Unit) :
            ForwardingChannel(inner) {
            override fun write(
                src: ByteBuffer,
                position: Long,
            ): Int = refusedIfFull { inner.write(src, position) }

            override fun truncate(size: Long): FileChannel = apply { refusedIfFull { inner.truncate(size) } }

            override fun force(metaData: Boolean) {
                refusedIfFull { inner.force(metaData) }
                onSync()
            }

            private fun <T> refusedIfFull(operation: () -> T): T =
                if (full) throw IOException("No space left on device") else operation()
        }
    }

    private companion object {
        /** With it, the log is compacted once in the longest cases. */
        private const val SAMPLES_PER_BATCH = 1_100
    }
}
