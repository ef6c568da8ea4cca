package bergamotwall.entry

import bergamotwall.model.Sample
import bergamotwall.model.TrainerName
import bergamotwall.model.TrainerStatus
import bergamotwall.model.WeightVersion
import java.util.concurrent.atomic.AtomicReference

/**
 * Statistics that this entry has collected about one trainer. [openSinceMillis] is when the trainer began to wait for a
 * batch, or null if it is not waiting. Immutable; updated by compare-and-set in a [TrainerStatsRef].
 */
internal data class TrainerStats(
    val name: TrainerName,
    val observedSinceMillis: Long,
    val batch: Long = 0,
    val ready: Int = 0,
    val wanted: Int = 0,
    val idleMillis: Long = 0,
    val openSinceMillis: Long? = null,
    val stalenessVersions: Double = 0.0,
    val expired: Long = 0,
    val cancelled: Long = 0,
) {
    /** Statistics after the trainer has ordered [batch] with [wanted] samples. */
    fun opened(
        batch: Long,
        wanted: Int,
        nowMillis: Long,
    ): TrainerStats = copy(batch = batch, wanted = wanted, ready = 0, openSinceMillis = openSinceMillis ?: nowMillis)

    /** Statistics after [samples] were delivered while [published] was the newest version. */
    fun closed(
        samples: List<Sample>,
        published: WeightVersion,
        nowMillis: Long,
    ): TrainerStats {
        val ages = samples.map { published.value - it.versions.min().value }.sorted()
        val median = if (ages.isEmpty()) 0.0 else ages[ages.size / 2].toDouble()
        val idle = idleMillis + (nowMillis - (openSinceMillis ?: nowMillis))
        return copy(ready = samples.size, idleMillis = idle, openSinceMillis = null, stalenessVersions = median)
    }

    fun status(nowMillis: Long): TrainerStatus =
        TrainerStatus(
            name = name,
            batch = batch,
            ready = ready,
            wanted = wanted,
            idleMillis = idleMillis + (openSinceMillis?.let { nowMillis - it } ?: 0),
            observedMillis = nowMillis - observedSinceMillis,
            stalenessVersions = stalenessVersions,
            expired = expired,
            cancelled = cancelled,
        )
}

/** Reference to the current [TrainerStats] of a trainer. */
internal typealias TrainerStatsRef = AtomicReference<TrainerStats>
