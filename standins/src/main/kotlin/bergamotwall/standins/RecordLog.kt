package bergamotwall.standins

import bergamotwall.model.Jsons
import kotlinx.serialization.KSerializer
import java.io.File
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Append-only log of what a stand-in observed, one JSON document per line. */
internal class RecordLog<T>(file: File, private val serializer: KSerializer<T>) : AutoCloseable {
    private val out = file.apply { parentFile?.mkdirs() }.appendingWriter()
    private val writer = Executors.newSingleThreadExecutor()

    fun add(record: T) {
        writer.execute {
            out.write(Jsons.wire.encodeToString(serializer, record) + "\n")
            out.flush()
        }
    }

    override fun close() {
        writer.shutdown()
        writer.awaitTermination(CLOSE_SECONDS, TimeUnit.SECONDS)
        out.close()
    }

    companion object {
        private const val CLOSE_SECONDS = 5L

        /** All records in [file]; an incomplete last line, as a kill leaves it, is skipped. */
        fun <T> read(
            file: File,
            serializer: KSerializer<T>,
        ): List<T> =
            file
                .readLines()
                .filter { it.endsWith("}") }
                .map { Jsons.wire.decodeFromString(serializer, it) }
    }
}

private fun File.appendingWriter() = java.io.FileWriter(this, true).buffered()
