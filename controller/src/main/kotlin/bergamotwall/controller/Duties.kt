package bergamotwall.controller

import bergamotwall.drivers.EngineDriver
import bergamotwall.model.ModelName
import bergamotwall.runtime.Duty
import bergamotwall.runtime.DutyParts
import bergamotwall.runtime.Node
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

/** Holds the rollout duties that this controller could get, one for each model of the configuration. */
internal class Duties(private val node: Node, private val engines: EngineDriver) {
    private class Running(val duty: Duty, val jobs: List<Job>)

    private val running = ConcurrentHashMap<ModelName, Running>()

    fun start() {
        node.scope.launch {
            while (true) {
                refresh()
                delay(REFRESH_MILLIS)
            }
        }
    }

    /** Names of the duties held now. */
    fun held(): List<String> = running.values.map { it.duty }.filter { it.mayAct() }.map { it.name }

    private suspend fun refresh() {
        val models = node.board.configuration.read().intents.flatMap { it.models }.map { it.name }.toSet()
        models.filter { it !in running.keys }.forEach { running[it] = begin(it) }
        running.keys.filter { it !in models }.forEach { model ->
            val ended = running.remove(model)
            ended?.jobs?.forEach { it.cancel() }
            ended?.duty?.release()
        }
    }

    private fun begin(model: ModelName): Running {
        val duty =
            Duty(
                "rollout/${model.value}",
                DutyParts(node.settings.id, node.store, node.clock, node.journal),
                node.settings.leaseTtlSeconds,
            )
        val intent = { node.board.configuration.read().model(model) }
        val rollout = Rollout(duty, node, engines, intent)
        val keeping =
            node.scope.launch {
                while (true) {
                    if (duty.holding != null || node.isCandidate(duty.name, CANDIDATES)) duty.step()
                    delay(if (duty.mayAct()) KEEP_MILLIS else node.random.nextLong(KEEP_MILLIS, ACQUIRE_MILLIS))
                }
            }
        val rolling =
            node.scope.launch {
                while (true) {
                    if (duty.mayAct()) rollout.step()
                    delay(ROLL_MILLIS)
                }
            }
        return Running(duty, listOf(keeping, rolling))
    }

    private companion object {
        private const val CANDIDATES = 3
        private const val REFRESH_MILLIS = 500L
        private const val KEEP_MILLIS = 300L
        private const val ACQUIRE_MILLIS = 1_500L
        private const val ROLL_MILLIS = 300L
    }
}
