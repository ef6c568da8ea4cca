package bergamotwall.controller

import bergamotwall.drivers.Condition
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.drivers.Write
import bergamotwall.model.Configuration
import bergamotwall.model.Jsons
import bergamotwall.model.Plan
import bergamotwall.model.PlanId
import bergamotwall.runtime.SharedKeys
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map

/** The stored configuration and the revision of its last write. */
internal class StoredConfiguration(val configuration: Configuration, val modRevision: Long)

/** Reads and writes plans and the configuration in the key-value service. */
internal class PlanStore(private val store: KeyValueStore) {
    suspend fun configuration(): Result<StoredConfiguration, KeyValueError> =
        store.get(SharedKeys.CONFIGURATION).map { entry ->
            val configuration = entry?.let { Jsons.wire.decodeFromString(Configuration.serializer(), it.value) }
            StoredConfiguration(configuration ?: Configuration(), entry?.modRevision ?: 0)
        }

    suspend fun plan(id: PlanId): Result<Plan?, KeyValueError> =
        store.get(SharedKeys.plan(id)).map { entry ->
            entry?.let { Jsons.wire.decodeFromString(Plan.serializer(), it.value) }
        }

    /** Stores [plan] under a lease, so that it expires an hour after it was created. */
    suspend fun save(plan: Plan): Result<Plan, KeyValueError> =
        store
            .grantLease(PLAN_TTL_SECONDS)
            .flatMap { lease ->
                val value = Jsons.wire.encodeToString(Plan.serializer(), plan)
                store.commit(Transaction(emptyList(), listOf(Write.Put(SharedKeys.plan(plan.id), value, lease))))
            }.map { plan }

    /** Writes [next] if the stored configuration was last written at [modRevision]; returns whether it was. */
    suspend fun compareAndSwap(
        next: Configuration,
        modRevision: Long,
    ): Result<Boolean, KeyValueError> {
        val value = Jsons.wire.encodeToString(Configuration.serializer(), next)
        val condition = Condition.Unchanged(SharedKeys.CONFIGURATION, modRevision)
        val put = Write.Put(SharedKeys.CONFIGURATION, value)
        return store.commit(Transaction(listOf(condition), listOf(put))).map { it is TransactionOutcome.Committed }
    }

    private companion object {
        private const val PLAN_TTL_SECONDS = 3_600L
    }
}
