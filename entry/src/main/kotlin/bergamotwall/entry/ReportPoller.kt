package bergamotwall.entry

import bergamotwall.decisions.DispatchEvent
import bergamotwall.decisions.DispatchTarget
import bergamotwall.drivers.EngineDriver
import com.github.michaelbull.result.fold
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/** Asks targets for their reports and tells the shard that owns them. */
internal class ReportPoller(private val scope: CoroutineScope, private val engines: EngineDriver) {
    /** Asks all [targets] of [shard] at once. */
    fun poll(
        shard: DispatchShard,
        targets: List<DispatchTarget>,
    ): Unit = targets.forEach { scope.launch { poll(shard, it) } }

    private suspend fun poll(
        shard: DispatchShard,
        target: DispatchTarget,
    ) {
        val report = engines.report(target.address)
        shard.tell(report.fold({ DispatchEvent.Reported(target.id, it) }, { DispatchEvent.Silent(target.id) }))
    }
}
