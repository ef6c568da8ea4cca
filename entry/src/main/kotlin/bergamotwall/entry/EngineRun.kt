package bergamotwall.entry

import bergamotwall.drivers.EngineChunk
import bergamotwall.model.TargetId
import bergamotwall.model.WeightVersion

/** What one attempt of a generation has received from [target]. Confined to the coroutine of the attempt. */
internal class EngineRun(val target: TargetId, val startedAtMillis: Long) {
    /** Time from the start to the first chunk, null before it. */
    var firstTokenMillis: Long? = null
        private set

    var tokens = 0
        private set

    /** The weight versions that the target named with text. */
    val versions = LinkedHashSet<WeightVersion>()

    fun received(
        chunk: EngineChunk,
        nowMillis: Long,
    ) {
        if (firstTokenMillis == null) firstTokenMillis = nowMillis - startedAtMillis
        if (chunk.text.isNotEmpty()) versions += chunk.version
        tokens += chunk.tokens
    }
}
