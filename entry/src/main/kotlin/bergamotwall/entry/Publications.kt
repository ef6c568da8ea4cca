package bergamotwall.entry

import bergamotwall.drivers.Condition
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.drivers.Write
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.PublishedVersion
import bergamotwall.model.RunState
import bergamotwall.model.TrainerIntent
import bergamotwall.model.WeightVersion
import bergamotwall.runtime.Decision
import bergamotwall.runtime.Node
import bergamotwall.runtime.SharedKeys
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError

/** Publishes weight versions in the key-value service. */
internal class Publications(private val node: Node) {
    /**
     * Publishes [version] as the newest of [trainer]'s model. Publishing the current version again succeeds without a
     * write; an older version is refused.
     */
    suspend fun record(
        trainer: TrainerIntent,
        version: WeightVersion,
    ): Result<PublishedVersion, Problem> {
        val key = SharedKeys.published(trainer.model)
        return node.store
            .get(key)
            .mapError(::unavailable)
            .flatMap { write(key, it, version) }
            .map { announce(trainer, version) }
    }

    private suspend fun write(
        key: String,
        entry: KeyValueEntry?,
        version: WeightVersion,
    ): Result<Unit, Problem> {
        val current = WeightVersion(entry?.value?.toLong() ?: 0)
        val condition = Condition.Unchanged(key, entry?.modRevision ?: 0)
        val transaction = Transaction(listOf(condition), listOf(Write.Put(key, version.value.toString())))
        return when {
            version < current -> Err(olderThanCurrent(version, current))
            version == current -> Ok(Unit)
            else ->
                node.store
                    .commit(transaction)
                    .mapError(::unavailable)
                    .flatMap { if (it is TransactionOutcome.Committed) Ok(Unit) else Err(lostRace()) }
        }
    }

    private fun announce(
        trainer: TrainerIntent,
        version: WeightVersion,
    ): PublishedVersion {
        val published = PublishedVersion(trainer.model, version)
        node.replicator.adoptIfNewer(listOf(published))
        val subject = "version/${trainer.model.value}/${version.value}"
        node.journal.record(Decision(subject, "published", "reported by its trainer", trainer.name.value))
        return published
    }

    private fun unavailable(error: KeyValueError): Problem {
        val applied = error is KeyValueError.Unavailable && error.mayHaveApplied
        val runState = if (applied) RunState.UNKNOWN else RunState.NOT_RUN
        return Problem(ProblemKind.UNAVAILABLE, "publish it again: ${error.detail}", runState, RETRY_AFTER_MILLIS)
    }

    private fun lostRace(): Problem =
        Problem(ProblemKind.CONFLICT, "another version was published concurrently: publish again")

    private fun olderThanCurrent(
        version: WeightVersion,
        current: WeightVersion,
    ): Problem = Problem(ProblemKind.CONFLICT, "version ${version.value} is older than the published ${current.value}")

    private companion object {
        private const val RETRY_AFTER_MILLIS = 500L
    }
}
