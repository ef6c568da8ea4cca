package bergamotwall.entry

import bergamotwall.model.Sample
import bergamotwall.model.TrainerName
import bergamotwall.model.TrainerStatus
import bergamotwall.model.WeightVersion
import java.util.concurrent.atomic.AtomicReference

/** What this entry has seen of one trainer. Immutable; published by compare-and-set. */
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
    fun opened(
        batch: Long,
        wanted: Int,
        nowMillis: Long,
    ): TrainerStats = copy(batch = batch, wanted = wanted, ready = 0, openSinceMillis = openSinceMillis ?: nowMillis)

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

/** Holder of [TrainerStats]. */
internal typealias TrainerStatsRef = AtomicReference<TrainerStats>
