package bergamotwall.samples

import bergamotwall.decisions.hashOf
import bergamotwall.model.Jsons
import bergamotwall.model.Sample
import bergamotwall.model.SampleId
import bergamotwall.model.TrainerName
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.io.File
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.StandardOpenOption

/** Opens the files of a [SampleLog]. Tests replace it to simulate a full disk. */
public fun interface FileOpener {
    /** Opens [file] for reading and writing, and creates it if it does not exist. */
    public fun open(file: File): FileChannel
}

/** Opens files on the local disk. */
public val localFiles: FileOpener =
    FileOpener {
        FileChannel.open(it.toPath(), StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.READ)
    }

/**
 * Durable samples in append-only files, one per trainer. Each line starts with a checksum of its content.
 *
 * Guarantees: a sample counts as stored only after it was forced to disk; on start, a file is truncated to its last
 * intact line, which removes a partial write; a failed write leaves the content of the file as it was. Not thread-safe.
 */
public class SampleLog(private val folder: File, private val opener: FileOpener = localFiles) : AutoCloseable {
    private class TrainerFile(val channel: FileChannel) {
        val samples = LinkedHashMap<SampleId, SampleRecord>()
        var released = 0L
        var obsoleteLines = 0
        var endBytes = 0L
    }

    private val files = HashMap<TrainerName, TrainerFile>()

    init {
        folder.mkdirs()
        folder.listFiles { f -> f.name.endsWith(SUFFIX) }.orEmpty().forEach { file ->
            files[TrainerName(file.name.removeSuffix(SUFFIX))] = recover(file)
        }
    }

    /** Appends [samples] of one trainer and forces them to disk once for all of them. */
    public fun append(
        trainer: TrainerName,
        batch: Long,
        samples: List<Sample>,
    ): Result<Unit, SampleLogError> {
        val file = fileOf(trainer)
        val records = samples.map { SampleRecord(trainer, batch, it) }
        return write(file, records).also { if (it.isOk) records.forEach { record -> apply(file, record) } }
    }

    /** Stored samples of [batch]. */
    public fun find(
        trainer: TrainerName,
        batch: Long,
    ): List<Sample> = files[trainer]?.samples?.values?.filter { it.batch == batch }?.mapNotNull { it.sample }.orEmpty()

    /** Drops the samples of batches up to [batch], which the trainer has acknowledged. */
    public fun release(
        trainer: TrainerName,
        batch: Long,
    ): Result<Unit, SampleLogError> {
        val file = fileOf(trainer)
        if (batch <= file.released) return Ok(Unit)
        val record = SampleRecord(trainer, batch)
        val written = write(file, listOf(record))
        if (written.isOk) {
            apply(file, record)
            if (file.samples.isEmpty() && file.obsoleteLines > COMPACT_LINES) compact(file, record)
        }
        return written
    }

    override fun close(): Unit = files.values.forEach { it.channel.close() }

    private fun fileOf(trainer: TrainerName): TrainerFile =
        files.getOrPut(trainer) { TrainerFile(opener.open(File(folder, trainer.value + SUFFIX))) }

    private fun write(
        file: TrainerFile,
        records: List<SampleRecord>,
    ): Result<Unit, SampleLogError> {
        val buffer = ByteBuffer.wrap(records.joinToString("") { line(it) }.toByteArray())
        return try {
            val size = buffer.remaining()
            var position = file.endBytes
            while (buffer.hasRemaining()) position += file.channel.write(buffer, position)
            file.channel.force(false)
            file.endBytes += size
            Ok(Unit)
        } catch (e: IOException) {
            rollBack(file)
            Err(SampleLogError.WriteFailed(e.message.orEmpty()))
        }
    }

    /** Removes what a failed write left in [file]. */
    private fun rollBack(file: TrainerFile) {
        try {
            file.channel.truncate(file.endBytes)
        } catch (e: IOException) {
            org.tinylog.Logger.warn("event={} detail=\"{}\"", "truncate refused, cut on the next start", e.message)
        }
    }

    /** Reduces [file], which has no samples left, to the record of the last release. */
    private fun compact(
        file: TrainerFile,
        released: SampleRecord,
    ) {
        file.channel.truncate(0)
        file.endBytes = 0
        file.obsoleteLines = 0
        write(file, listOf(released))
    }

    /** Updates the state in memory after [record] was written to or read from [file]. */
    private fun apply(
        file: TrainerFile,
        record: SampleRecord,
    ) {
        val sample = record.sample
        if (sample == null) {
            file.released = maxOf(file.released, record.batch)
            val before = file.samples.size
            file.samples.values.removeIf { it.batch <= file.released }
            file.obsoleteLines += before - file.samples.size
        } else if (record.batch > file.released) {
            file.samples[sample.id] = record
        }
    }

    /** Reads the file at [path] up to its first damaged line and truncates it there. */
    private fun recover(path: File): TrainerFile {
        val file = TrainerFile(opener.open(path))
        path.readBytes().let { bytes ->
            var start = 0
            while (start < bytes.size) {
                val end = bytes.indexOfFrom(NEWLINE, start)
                val record = if (end < 0) null else parse(String(bytes, start, end - start))
                if (record == null) break
                apply(file, record)
                start = end + 1
            }
            file.endBytes = start.toLong()
        }
        file.channel.truncate(file.endBytes)
        return file
    }

    private companion object {
        private const val SUFFIX = ".samples"
        private const val COMPACT_LINES = 1_000
        private const val NEWLINE = '\n'.code.toByte()
    }
}

private fun ByteArray.indexOfFrom(
    byte: Byte,
    start: Int,
): Int = (start until size).firstOrNull { this[it] == byte } ?: -1

private fun line(record: SampleRecord): String {
    val json = Jsons.wire.encodeToString(SampleRecord.serializer(), record)
    return "${hashOf(json)} $json\n"
}

private fun parse(line: String): SampleRecord? {
    val json = line.substringAfter(' ', "")
    val intact = line.substringBefore(' ') == hashOf(json).toString()
    return if (intact) Jsons.wire.decodeFromString(SampleRecord.serializer(), json) else null
}
