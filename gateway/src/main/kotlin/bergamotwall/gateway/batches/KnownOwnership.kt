package bergamotwall.gateway.batches

import bergamotwall.decisions.batches.OwnershipDemand
import bergamotwall.decisions.batches.OwnershipPolicy
import bergamotwall.model.BatchOwnership
import bergamotwall.runtime.Clock
import bergamotwall.runtime.ClockReading
import bergamotwall.runtime.read

/**
 * The ownership [record] of a batch as this process knows it, and how long ago it was known to be unchanged. The first
 * one was written by this process; [provenAt] is when the call that created or claimed the batch was sent. Confined to
 * the batch loop.
 */
internal class KnownOwnership(
    var record: OwnershipRecord,
    private val clock: Clock,
    private val policy: OwnershipPolicy,
    private var provenAt: ClockReading,
) {
    private val claimed = record.ownership

    /** Whether the record was absent when it was last read. */
    var removed = false
    private var failedAt: ClockReading? = null

    private val failureAgeMillis: Long? get() = failedAt?.let { ageMillis(it) }

    /** Time since the last proof. */
    val ageMillis: Long get() = ageMillis(provenAt)

    /** Whether every change of the record that other processes had to act on is known. */
    val current: Boolean get() = policy.isCurrent(ageMillis)

    /** Whether items may be sent. */
    val mayStartWork: Boolean get() = policy.mayStartWork(ageMillis, failureAgeMillis)

    /** Time until the record is to be read again for [demand], not positive if that is due. */
    fun untilCheckMillis(demand: OwnershipDemand): Long =
        policy.untilCheckMillis(ageMillis, failureAgeMillis, demand)

    /** Duration of a check after which it counts as failed. */
    val checkTimeoutMillis: Long get() = policy.checkTimeoutMillis

    /** Whether [stored] names this process as the owner. */
    fun isOwnerIn(stored: BatchOwnership): Boolean = stored.hasOwnerOf(claimed)

    /** The current moment, to be taken before a call that may confirm the record. */
    fun now(): ClockReading = clock.read()

    /** Records that a call sent at [sentAt] has found the record unchanged. */
    fun confirmed(sentAt: ClockReading) {
        provenAt = sentAt
        failedAt = null
    }

    /** Records that the key-value service did not answer a check in time. */
    fun checkFailed() {
        failedAt = now()
    }

    private fun ageMillis(since: ClockReading) = since.millisUntil(now())
}
