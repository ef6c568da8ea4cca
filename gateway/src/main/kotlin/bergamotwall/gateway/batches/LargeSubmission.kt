package bergamotwall.gateway.batches

import bergamotwall.model.BatchRecord
import bergamotwall.model.ItemId
import bergamotwall.model.ItemSpec
import bergamotwall.model.Jsons

/**
 * A submitted batch that is too large to be held as a [BatchRecord]. The `bodyBase64` of each item of [record] is the
 * index of its body in [bodies], or empty; [received] returns a range of the text that [bodies] refers to, in ASCII.
 */
public class LargeSubmission(
    public val record: BatchRecord,
    public val bodies: List<BodyPlace>,
    public val received: (start: Int, length: Int) -> String,
) {
    /** Characters of all bodies. */
    internal val chars: Int = bodies.sumOf { it.length }
}

/**
 * The text in which [submission] is stored, made chunk by chunk while it is written: the same document as that of a
 * batch that is stored at once, so all builds can read it.
 */
internal class LargeRecordText(
    private val submission: LargeSubmission,
    private val chunkChars: Int,
) {
    private val buffer = StringBuilder(chunkChars + PIECE_CHARS)
    private var position = 0

    /** Position in the text of each chunk made so far. */
    val chunkStarts = ArrayList<Int>()

    /** Position in the text of the body of each item made so far, for the items that have one. */
    val places = HashMap<ItemId, BodyPlace>()

    /** The chunks, which can be read once. */
    fun chunks(): Sequence<String> =
        sequence {
            for (piece in pieces()) {
                buffer.append(piece)
                position += piece.length
                while (buffer.length > chunkChars) yield(nextChunk(chunkEnd()))
            }
            if (buffer.isNotEmpty()) yield(nextChunk(buffer.length))
        }

    /** Chunks are encoded one by one, so a surrogate pair must not be divided. */
    private fun chunkEnd(): Int = if (buffer[chunkChars - 1].isHighSurrogate()) chunkChars - 1 else chunkChars

    private fun nextChunk(end: Int): String {
        chunkStarts += position - buffer.length
        return buffer.substring(0, end).also { buffer.delete(0, end) }
    }

    private fun pieces(): Sequence<String> =
        sequence {
            val frame = Jsons.wire.encodeToString(BatchRecord.serializer(), submission.record.copy(items = emptyList()))
            // Quotes within strings are escaped, so this is found only where it is meant.
            val (before, after) = frame.split(NO_ITEMS, limit = 2)
            yield("$before$ITEMS_START")
            submission.record.items.forEachIndexed { index, item ->
                if (index > 0) yield(",")
                yieldAll(piecesOf(item))
            }
            yield("]$after")
        }

    private fun piecesOf(item: ItemSpec): Sequence<String> =
        sequence {
            val text = Jsons.wire.encodeToString(ItemSpec.serializer(), item)
            if (item.bodyBase64.isEmpty()) {
                yield(text)
                return@sequence
            }
            val body = submission.bodies[item.bodyBase64.toInt()]
            // The first of this name is the item's; the one of its reward call follows.
            val (before, after) = text.split("$BODY_START${item.bodyBase64}\"", limit = 2)
            yield("$before$BODY_START")
            places[item.id] = BodyPlace(position, body.length, body.byteCount)
            for (start in 0 until body.length step PIECE_CHARS) {
                yield(submission.received(body.start + start, minOf(PIECE_CHARS, body.length - start)))
            }
            yield("\"$after")
        }

    private companion object {
        private const val PIECE_CHARS = 65_536
        private const val NO_ITEMS = "\"items\":[]"
        private const val ITEMS_START = "\"items\":["
        private const val BODY_START = "\"bodyBase64\":\""
    }
}
