package bergamotwall.gateway.scaling

import bergamotwall.decisions.scaling.ScalingPool
import bergamotwall.drivers.Condition
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.drivers.Write
import bergamotwall.gateway.store.GatewayKeys
import bergamotwall.gateway.store.decodeDocument
import bergamotwall.model.DataCentre
import bergamotwall.model.FencingNumber
import bergamotwall.model.Jsons
import bergamotwall.model.ServiceName
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import kotlinx.serialization.Serializable

/**
 * Numbers of targets of a service ordered last in a data centre; null for a kind that was never ordered. [atMillis]:
 * when, on the wall clock of the leader that stored them.
 */
@Serializable
internal data class ScalingRecord(val regular: Int? = null, val spot: Int? = null, val atMillis: Long = 0) {
    /** The number of the kind of [pool]. */
    fun of(pool: ScalingPool): Int? = if (pool.spot) spot else regular

    /** The record once [desired] targets are ordered in [pool]. */
    fun with(
        pool: ScalingPool,
        desired: Int,
        nowMillis: Long,
    ): ScalingRecord =
        if (pool.spot) copy(spot = desired, atMillis = nowMillis) else copy(regular = desired, atMillis = nowMillis)
}

/** A service in a data centre. */
internal data class ScalingSubject(val service: ServiceName, val dataCentre: DataCentre) {
    /** Key of the numbers ordered for it. */
    val key: String get() = "${GatewayKeys.SCALING}${service.value}/${dataCentre.value}"

    /** Subjects. */
    companion object {
        /** The subject with the key [key]. */
        fun of(key: String): ScalingSubject {
            val name = key.removePrefix(GatewayKeys.SCALING)
            return ScalingSubject(ServiceName(name.substringBeforeLast('/')), DataCentre(name.substringAfterLast('/')))
        }
    }
}

/** What came of the attempt to store an order. */
internal enum class RecordOutcome { STORED, NOT_LEADING, UNAVAILABLE }

/** The ordered numbers in the key-value service. */
internal class ScalingRecords(private val store: KeyValueStore) {
    /** All stored records that this build can read. */
    suspend fun list(): Result<Map<ScalingSubject, ScalingRecord>, KeyValueError> =
        store.list(GatewayKeys.SCALING).map { listing ->
            listing.entries
                .mapNotNull { entry ->
                    decodeDocument(ScalingRecord.serializer(), entry)?.let { ScalingSubject.of(entry.key) to it }
                }
                .toMap()
        }

    /** Stores [record] of [subject], on condition that the lease of the leader with [fence] still exists. */
    suspend fun put(
        subject: ScalingSubject,
        record: ScalingRecord,
        fence: FencingNumber,
    ): RecordOutcome {
        val text = Jsons.wire.encodeToString(ScalingRecord.serializer(), record)
        val condition = Condition.Unchanged(GatewayKeys.SCALING_LEADER, fence.value)
        val write = Write.Put(subject.key, text)
        return store.commit(Transaction(listOf(condition), listOf(write))).fold(
            success = { if (it is TransactionOutcome.Committed) RecordOutcome.STORED else RecordOutcome.NOT_LEADING },
            failure = { RecordOutcome.UNAVAILABLE },
        )
    }
}
