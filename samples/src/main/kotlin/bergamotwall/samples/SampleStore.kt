package bergamotwall.samples

import bergamotwall.model.Done
import bergamotwall.model.FetchSamples
import bergamotwall.model.NodeRole
import bergamotwall.model.NodeStatus
import bergamotwall.model.PeerMessage
import bergamotwall.model.PeerRefusal
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.ReleaseSamples
import bergamotwall.model.Settings
import bergamotwall.model.StatusQuery
import bergamotwall.model.StoreSample
import bergamotwall.model.StoredSamples
import bergamotwall.model.TrainerName
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Node
import bergamotwall.runtime.runNode
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import java.io.File
import kotlin.system.exitProcess

/** Starts a sample store, which stores samples in the data folder until their trainer has acknowledged the batch. */
public fun startSampleStore(settings: Settings): Node {
    val node = Node(settings, NodeRole.SAMPLES)
    val folder = requireNotNull(settings.dataFolder) { "settings: dataFolder is missing: name the folder for samples" }
    SampleStoreWiring(node, SampleLog(File(folder))).start()
    return node
}

/**
 * Serves the sample log. One coroutine owns the log; requests to store samples of one batch that wait in the queue
 * together are forced to disk together (group commit).
 */
private class SampleStoreWiring(private val node: Node, private val log: SampleLog) {
    private class Task(val message: PeerMessage) {
        val response = CompletableDeferred<PeerMessage>()
    }

    private val tasks = Channel<Task>(QUEUE_LENGTH)

    fun start() {
        node.scope.launch(Dispatchers.IO) { while (true) serve(nextTasks()) }
        node.start({ message, _ -> handle(message) }) { }
    }

    private suspend fun handle(message: PeerMessage): PeerMessage =
        when (message) {
            is StoreSample, is FetchSamples, is ReleaseSamples -> enqueue(Task(message))
            is StatusQuery ->
                NodeStatus(
                    node.settings.id,
                    node.fleetState.configuration.read().revision,
                    node.fleetState.vmList.read().revision,
                )
            else -> Node.notServed(message)
        }

    private suspend fun enqueue(task: Task): PeerMessage {
        if (tasks.trySend(task).isFailure) return refusal("the sample store is overloaded")
        return task.response.await()
    }

    private suspend fun nextTasks(): List<Task> {
        val queued = mutableListOf(tasks.receive())
        while (queued.size < MAX_TASKS) queued += tasks.tryReceive().getOrNull() ?: break
        return queued
    }

    private fun serve(queued: List<Task>) {
        val (stores, others) = queued.partition { it.message is StoreSample }
        stores
            .groupBy { (it.message as StoreSample).let { m -> BatchKey(m.trainer, m.batch) } }
            .forEach { (key, group) -> storeAll(key, group) }
        others.forEach { it.response.complete(serveOne(it.message)) }
    }

    private data class BatchKey(val trainer: TrainerName, val batch: Long)

    private fun storeAll(
        key: BatchKey,
        group: List<Task>,
    ) {
        val samples = group.map { (it.message as StoreSample).sample }
        val response = responseOf(log.append(key.trainer, key.batch, samples))
        // Recorded as `stored` even if the write failed: the cause is the response, which is a refusal then.
        samples.forEach {
            node.journal.record(
                Decision("sample/${it.id.value}", "stored", "forced to disk", response.toString())
            )
        }
        group.forEach { it.response.complete(response) }
    }

    private fun serveOne(message: PeerMessage): PeerMessage =
        when (message) {
            is FetchSamples -> StoredSamples(log.find(message.trainer, message.batch))
            is ReleaseSamples -> responseOf(log.release(message.trainer, message.batch))
            else -> Node.notServed(message)
        }

    private fun responseOf(result: Result<Unit, SampleLogError>): PeerMessage =
        result.fold({ Done }, { refusal("not stored: $it") })

    private fun refusal(detail: String): PeerMessage = PeerRefusal(Problem(ProblemKind.UNAVAILABLE, detail))

    private companion object {
        private const val QUEUE_LENGTH = 4_096
        private const val MAX_TASKS = 256
    }
}

/** Entry point of `bergamotwall-samples`. */
public fun main(args: Array<String>) {
    exitProcess(runNode("samples", args, ::startSampleStore))
}
