package bergamotwall.samples

import bergamotwall.model.Sample
import bergamotwall.model.SampleId
import bergamotwall.model.TrainerName
import bergamotwall.model.WeightVersion
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isTrue
import java.io.File
import java.io.IOException
import java.io.RandomAccessFile
import java.nio.ByteBuffer
import java.nio.channels.FileChannel

internal class SampleLogTest {
    @TempDir
    lateinit var folder: File

    private val trainer = TrainerName("t")

    @Test
    fun `samples survive a restart, released ones are not restored`() {
        SampleLog(folder).use { log ->
            log.append(trainer, 1, listOf(sample("a")))
            log.append(trainer, 2, listOf(sample("b"), sample("c")))
            log.release(trainer, 1)
        }
        SampleLog(folder).use { log ->
            expectThat(log.find(trainer, 1)).isEmpty()
            expectThat(ids(log, 2)).containsExactly("b", "c")
        }
    }

    @ParameterizedTest(name = "{0} bytes are lost")
    @ValueSource(ints = [1, 5, 40])
    fun `after a partial write the log keeps the intact records and accepts new ones`(lost: Long) {
        SampleLog(folder).use { it.append(trainer, 1, listOf(sample("a"), sample("b"))) }
        RandomAccessFile(file(), "rw").use { it.setLength(it.length() - lost) }
        SampleLog(folder).use { log ->
            expectThat(ids(log, 1)).containsExactly("a")
            log.append(trainer, 1, listOf(sample("c")))
        }
        SampleLog(folder).use { expectThat(ids(it, 1)).containsExactly("a", "c") }
    }

    @Test
    fun `a corrupted byte is detected by the checksum`() {
        SampleLog(folder).use { it.append(trainer, 1, listOf(sample("a"), sample("b"))) }
        val bytes = file().readBytes()
        bytes[bytes.size - 20] = (bytes[bytes.size - 20] + 1).toByte()
        file().writeBytes(bytes)
        SampleLog(folder).use { expectThat(ids(it, 1)).containsExactly("a") }
    }

    @Test
    fun `a full disk fails the append and leaves earlier samples intact`() {
        var full = false
        val opener = FileOpener { FullDiskChannel(localFiles.open(it)) { full } }
        SampleLog(folder, opener).use { log ->
            expectThat(log.append(trainer, 1, listOf(sample("a"))).isOk).isTrue()
            full = true
            expectThat(log.append(trainer, 1, listOf(sample("b"))).getError()).isA<SampleLogError.WriteFailed>()
            expectThat(ids(log, 1)).containsExactly("a")
            full = false
            log.append(trainer, 1, listOf(sample("c")))
        }
        SampleLog(folder).use { expectThat(ids(it, 1)).containsExactly("a", "c") }
    }

    private fun file(): File = File(folder, "t.samples")

    private fun ids(
        log: SampleLog,
        batch: Long,
    ): List<String> = log.find(trainer, batch).map { it.id.value }

    private fun sample(id: String): Sample = Sample(
        SampleId(id),
        0,
        listOf(WeightVersion(1)),
        "some text of $id",
        3,
        emptyList()
    )
}

/** Channel that, while [full], writes half of each buffer and then fails as a full disk does. */
private class FullDiskChannel(private val inner: FileChannel, private val full: () -> Boolean) :
    ForwardingChannel(inner) {
    override fun write(
        src: ByteBuffer,
        position: Long,
    ): Int {
        if (!full()) return inner.write(src, position)
        val half = src.duplicate().apply { limit(position() + remaining() / 2) }
        inner.write(half, position)
        throw IOException("No space left on device")
    }
}
