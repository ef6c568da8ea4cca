package bergamotwall.gateway.batches

import bergamotwall.gateway.http.TargetExchange
import bergamotwall.model.ItemResult
import bergamotwall.model.ItemSpec
import bergamotwall.model.TargetId
import bergamotwall.model.WeightVersion

/** One item of an owned batch: its text so far and how its attempts went. Confined to the batch loop. */
internal class ItemState(val spec: ItemSpec) {
    private val lines = ArrayList<String>()
    private val versions = LinkedHashSet<WeightVersion>()

    /** Id of the last event held, null before the first. */
    var lastEventId: Long? = null
        private set

    var errorAnswers = 0
    var attempts = 0

    /** Attempts that failed, rather than found no slot. */
    var failures = 0
    var running = false
    var done = false
    var notBeforeMillis = 0L
    var lastFailed: TargetId? = null
    var exchange: TargetExchange? = null

    /** Text held, in events. */
    val events: Int get() = lines.size

    /** Versions of the text held. */
    fun versions(): Set<WeightVersion> = versions

    /** Takes in [event] made by [version]; false if it does not follow the last one. */
    fun append(
        event: StreamEvent,
        version: WeightVersion,
    ): Boolean {
        val id = event.id
        val last = lastEventId
        val seen = id != null && last != null && id <= last
        val follows = id != null && (last == null || id == last + 1)
        if (follows) {
            lines += event.data
            versions += version
            lastEventId = id
        }
        return seen || follows
    }

    /** Drops the text held, for a run from the start. */
    fun restart() {
        lines.clear()
        versions.clear()
        lastEventId = null
    }

    fun result(failed: Boolean): ItemResult =
        if (failed) {
            ItemResult(spec.id, true, "", emptyList())
        } else {
            ItemResult(spec.id, false, lines.joinToString("\n"), versions.sorted())
        }
}
