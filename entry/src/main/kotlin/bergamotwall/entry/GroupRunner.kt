package bergamotwall.entry

import bergamotwall.decisions.GroupStep
import bergamotwall.decisions.GroupTracker
import bergamotwall.decisions.TailEstimator
import bergamotwall.drivers.EnginePiece
import bergamotwall.model.GroupSpec
import bergamotwall.model.Problem
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Node
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select

/** What becomes of the generations of a group. */
internal interface GroupListener {
    /** A piece of generation [number]. */
    suspend fun piece(
        number: Int,
        piece: EnginePiece,
    ) {}

    /** Generation [number] is whole; false if it cannot be used and another is to take its place. */
    suspend fun whole(
        number: Int,
        generation: Generation,
    ): Boolean

    /** Waits, beside the other generations, before another takes the place of one that failed with [problem]. */
    suspend fun pause(problem: Problem) {}

    /** Generation [number] failed; null if another is to take its place, or the problem that ends the group. */
    suspend fun failed(
        number: Int,
        problem: Problem,
    ): Problem?
}

/** Runs groups: starts generations, takes the first whole ones, cancels the rest at once. */
internal class GroupRunner(private val node: Node, private val runner: GenerationRunner) {
    private class Ended(val number: Int, val result: Result<Generation, Problem>)

    /** Runs [spec] until enough generations are whole. [orderOf] gives the order of a generation by its number. */
    suspend fun run(
        name: String,
        spec: GroupSpec,
        tail: TailEstimator,
        orderOf: (Int) -> GenerationOrder,
        listener: GroupListener,
    ): Result<Unit, Problem> =
        coroutineScope {
            val tracker = GroupTracker(spec, tail)
            val ended = Channel<Ended>(Channel.UNLIMITED)
            val jobs = HashMap<Int, Job>()
            val apply = { step: GroupStep ->
                step.start.forEach { number ->
                    jobs[number] = launch { ended.send(Ended(number, generate(orderOf(number), number, listener))) }
                }
                step.cancel.forEach { number -> jobs.remove(number)?.cancel() }
                if (step.cancel.isNotEmpty()) cancelled(name, step)
            }
            apply(tracker.begin(now()))
            while (!tracker.complete) {
                val end = receiveOrTick(ended)
                if (end == null) {
                    apply(tracker.tick(now()))
                } else {
                    jobs.remove(end.number)
                    val problem = settle(end, tracker, tail, listener, apply)
                    if (problem != null) {
                        jobs.values.forEach { it.cancel() }
                        return@coroutineScope Err(problem)
                    }
                }
            }
            Ok(Unit)
        }

    /** The next ended generation, or null after a tick. A select takes or leaves; a timeout around receive can lose. */
    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun receiveOrTick(ended: Channel<Ended>): Ended? =
        select {
            ended.onReceive { it }
            onTimeout(TICK_MILLIS) { null }
        }

    private suspend fun generate(
        order: GenerationOrder,
        number: Int,
        listener: GroupListener,
    ): Result<Generation, Problem> {
        val result = runner.run(order) { listener.piece(number, it) }
        if (result.isErr) listener.pause(result.error)
        return result
    }

    private suspend fun settle(
        end: Ended,
        tracker: GroupTracker,
        tail: TailEstimator,
        listener: GroupListener,
        apply: (GroupStep) -> Unit,
    ): Problem? =
        end.result.fold(
            success = { generation ->
                tail.add(generation.durationMillis)
                val usable = listener.whole(end.number, generation)
                apply(if (usable) tracker.whole(end.number, now()) else tracker.failed(end.number, now()))
                null
            },
            failure = { problem ->
                val fatal = listener.failed(end.number, problem)
                if (fatal == null) apply(tracker.failed(end.number, now()))
                fatal
            },
        )

    private fun cancelled(
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
