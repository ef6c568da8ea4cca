package bergamotwall.controller

import bergamotwall.drivers.EngineDriver
import bergamotwall.model.ModelName
import bergamotwall.runtime.Leadership
import bergamotwall.runtime.LeadershipDependencies
import bergamotwall.runtime.Node
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

/** Competes for the leadership of the rollout of each configured model, and runs the rollouts that it leads. */
internal class RolloutLeaderships(private val node: Node, private val engines: EngineDriver) {
    private class RolloutJobs(val leadership: Leadership, val jobs: List<Job>)

    private val rollouts = ConcurrentHashMap<ModelName, RolloutJobs>()

    fun start() {
        node.scope.launch {
            while (true) {
                refresh()
                delay(REFRESH_MILLIS)
            }
        }
    }

    /** Names of the leaderships under which this controller may act now. */
    fun heldNames(): List<String> = rollouts.values.map { it.leadership }.filter { it.mayAct() }.map { it.name }

    private suspend fun refresh() {
        val models = node.fleetState.configuration.read().intents.flatMap { it.models }.map { it.name }.toSet()
        models.filter { it !in rollouts.keys }.forEach { rollouts[it] = start(it) }
        rollouts.keys.filter { it !in models }.forEach { model ->
            val removed = rollouts.remove(model)
            removed?.jobs?.forEach { it.cancel() }
            removed?.leadership?.release()
        }
    }

    private fun start(model: ModelName): RolloutJobs {
        val leadership =
            Leadership(
                "rollout/${model.value}",
                LeadershipDependencies(node.settings.id, node.store, node.clock, node.journal),
                node.settings.leaseTtlSeconds,
            )
        val intent = { node.fleetState.configuration.read().model(model) }
        val rollout = Rollout(leadership, node, engines, intent)
        val leaseJob =
            node.scope.launch {
                while (true) {
                    if (leadership.holding != null || node.isCandidate(leadership.name, CANDIDATES)) leadership.step()
                    // The delay of a candidate is random, so that the candidates do not all try at the same time.
                    delay(if (leadership.mayAct()) STEP_MILLIS else node.random.nextLong(STEP_MILLIS, MAX_DELAY_MILLIS))
                }
            }
        val rolloutJob =
            node.scope.launch {
                while (true) {
                    if (leadership.mayAct()) rollout.step()
                    delay(ROLLOUT_STEP_MILLIS)
                }
            }
        return RolloutJobs(leadership, listOf(leaseJob, rolloutJob))
    }

    private companion object {
        private const val CANDIDATES = 3
        private const val REFRESH_MILLIS = 500L
        private const val STEP_MILLIS = 300L
        private const val MAX_DELAY_MILLIS = 1_500L
        private const val ROLLOUT_STEP_MILLIS = 300L
    }
}
