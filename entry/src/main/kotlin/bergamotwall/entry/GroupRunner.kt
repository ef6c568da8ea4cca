package bergamotwall.entry

import bergamotwall.decisions.admission.TailEstimator
import bergamotwall.decisions.batches.GroupStep
import bergamotwall.decisions.batches.GroupTracker
import bergamotwall.drivers.EngineChunk
import bergamotwall.model.GroupSpec
import bergamotwall.model.Problem
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Node
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select

/** Receives the results of the generations of a group and decides whether they can be used. */
internal interface GroupListener {
    /** Generation [number] has produced [chunk]. */
    suspend fun chunk(
        number: Int,
        chunk: EngineChunk,
    ) {}

    /**
     * Generation [number] is complete as a text. Returns it as it is to count, for example with its score, or the
     * problem for which it is replaced. The generation counts as running until then.
     */
    suspend fun prepare(
        number: Int,
        generation: Generation,
    ): Result<Generation, Problem> = Ok(generation)

    /** Generation [number] has completed. Returns false if it cannot be used and must be replaced by another. */
    suspend fun completed(
        number: Int,
        generation: Generation,
    ): Boolean

    /** Waits before a generation that failed with [problem] is replaced. The other generations of the group go on. */
    suspend fun backOff(problem: Problem) {}

    /** Generation [number] has failed. Returns null to have it replaced, or the problem that ends the group. */
    suspend fun failed(
        number: Int,
        problem: Problem,
    ): Problem?
}

/** Runs groups of generations: starts them, takes the first that complete and cancels the rest at once. */
internal class GroupRunner(private val node: Node, private val runner: GenerationRunner) {
    private class Ended(val number: Int, val result: Result<Generation, Problem>)

    /** Runs [spec] until enough generations have completed. [requestOf] makes the request of a generation by number. */
    suspend fun run(
        name: String,
        spec: GroupSpec,
        tail: TailEstimator,
        requestOf: (Int) -> GenerationRequest,
        listener: GroupListener,
    ): Result<Unit, Problem> =
        coroutineScope {
            val tracker = GroupTracker(spec, tail)
            val ended = Channel<Ended>(Channel.UNLIMITED)
            val jobs = HashMap<Int, Job>()
            val apply = { step: GroupStep ->
                step.start.forEach { number ->
                    jobs[number] = launch { ended.send(Ended(number, generate(requestOf(number), number, listener))) }
                }
                step.cancel.forEach { number -> jobs.remove(number)?.cancel() }
                if (step.cancel.isNotEmpty()) recordCancellations(name, step)
            }
            apply(tracker.begin(now()))
            while (!tracker.complete) {
                val end = receiveOrTick(ended)
                if (end == null) {
                    apply(tracker.tick(now()))
                } else {
                    jobs.remove(end.number)
                    val problem = handleEnd(end, tracker, tail, listener, apply)
                    if (problem != null) {
                        jobs.values.forEach { it.cancel() }
                        return@coroutineScope Err(problem)
                    }
                }
            }
            Ok(Unit)
        }

    /**
     * The next ended generation, or null after [TICK_MILLIS]. Uses a select, which either receives the element or
     * leaves it in the channel; a timeout around `receive` can lose an element that arrives as the timeout fires.
     */
    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun receiveOrTick(ended: Channel<Ended>): Ended? =
        select {
            ended.onReceive { it }
            onTimeout(TICK_MILLIS) { null }
        }

    private suspend fun generate(
        request: GenerationRequest,
        number: Int,
        listener: GroupListener,
    ): Result<Generation, Problem> {
        val result = runner.run(request) { listener.chunk(number, it) }.andThen { listener.prepare(number, it) }
        if (result.isErr) listener.backOff(result.error)
        return result
    }

    private suspend fun handleEnd(
        end: Ended,
        tracker: GroupTracker,
        tail: TailEstimator,
        listener: GroupListener,
        apply: (GroupStep) -> Unit,
    ): Problem? =
        end.result.fold(
            success = { generation ->
                tail.add(generation.durationMillis)
                val usable = listener.completed(end.number, generation)
                apply(if (usable) tracker.completed(end.number, now()) else tracker.failed(end.number, now()))
                null
            },
            failure = { problem ->
                val fatal = listener.failed(end.number, problem)
                if (fatal == null) apply(tracker.failed(end.number, now()))
                fatal
            },
        )

    private fun recordCancellations(
        name: String,
        step: GroupStep,
    ) {
        node.metrics.cancelled.labelValues("enough").inc(step.cancel.size.toDouble())
        node.journal.record(
            Decision("group/$name", "cancelled ${step.cancel.size}", step.rule, "", "numbers ${step.cancel}")
        )
    }

    private fun now(): Long = node.clock.monotonicMillis()

    private companion object {
        private const val TICK_MILLIS = 50L
    }
}
