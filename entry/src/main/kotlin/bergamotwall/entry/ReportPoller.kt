package bergamotwall.entry

import bergamotwall.decisions.placement.DispatchEvent
import bergamotwall.decisions.placement.DispatchTarget
import bergamotwall.drivers.EngineDriver
import com.github.michaelbull.result.fold
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/** Polls targets for their reports and passes them to the dispatch shard that owns the targets. */
internal class ReportPoller(private val scope: CoroutineScope, private val engines: EngineDriver) {
    /** Polls all [targets] of [shard] concurrently. */
    fun poll(
        shard: DispatchShard,
        targets: List<DispatchTarget>,
    ): Unit = targets.forEach { scope.launch { poll(shard, it) } }

    private suspend fun poll(
        shard: DispatchShard,
        target: DispatchTarget,
    ) {
        val report = engines.report(target.address)
        shard.handle(
            report.fold(
                { DispatchEvent.TargetReported(target.id, it) },
                { DispatchEvent.TargetUnresponsive(target.id) },
            ),
        )
    }
}
