package bergamotwall.standins

import bergamotwall.drivers.etcd.Compare
import bergamotwall.drivers.etcd.EtcdKeyValue
import bergamotwall.drivers.etcd.RangeRequest
import bergamotwall.drivers.etcd.RangeResponse
import bergamotwall.drivers.etcd.RequestOp
import bergamotwall.drivers.etcd.ResponseHeader
import bergamotwall.drivers.etcd.ResponseOp
import bergamotwall.drivers.etcd.TxnRequest
import bergamotwall.drivers.etcd.TxnResponse
import java.util.Base64
import java.util.TreeMap

/** State of the key-value stand-in, with the semantics of the etcd v3 API that the fleet uses. Not thread-safe. */
internal class KeyValueState(nowMillis: () -> Long) {
    private val entries = TreeMap<String, EtcdKeyValue>()
    private val history = ArrayList<EtcdKeyValue>()
    private val leases = LeaseTable(nowMillis)

    var revision = 1L
        private set

    fun range(request: RangeRequest): RangeResponse {
        leases.expired().forEach { revoke(it) }
        val end = request.rangeEnd
        val matching =
            if (end == null) {
                listOfNotNull(entries[request.key])
            } else {
                entries.values.filter { inRange(it.key, request.key, end) }
            }
        return RangeResponse(header(), matching)
    }

    fun txn(request: TxnRequest): TxnResponse {
        leases.expired().forEach { revoke(it) }
        val succeeded = request.compare.all { isTrue(it) }
        val operations = if (succeeded) request.success else request.failure
        if (operations.any { it.put != null || it.delete != null }) revision++
        val responses = operations.map { apply(it) }
        return TxnResponse(header(), succeeded, responses)
    }

    fun grant(ttlSeconds: Long): Long = leases.grant(ttlSeconds)

    /** Renews [lease] and returns its time to live in seconds, or 0 if it has expired. */
    fun keepAlive(lease: Long): Long {
        leases.expired().forEach { revoke(it) }
        return leases.keepAlive(lease)
    }

    /** Whether [lease] has neither expired nor been revoked. */
    fun hasLease(lease: Long): Boolean {
        leases.expired().forEach { revoke(it) }
        return lease in leases
    }

    fun revoke(lease: Long) {
        if (leases.revoke(lease) && entries.values.removeIf { it.lease == lease.toString() }) revision++
    }

    /** Puts from [fromRevision] on to the keys from [key] to [end], exclusive. Deletions are not recorded. */
    fun changes(
        key: String,
        end: String,
        fromRevision: Long,
    ): List<EtcdKeyValue> = history.filter { it.modRevision.toLong() >= fromRevision && inRange(it.key, key, end) }

    fun header(): ResponseHeader = ResponseHeader(revision.toString())

    private fun apply(operation: RequestOp): ResponseOp {
        operation.put?.let { put ->
            val created = entries[put.key]?.createRevision ?: revision.toString()
            val entry = EtcdKeyValue(put.key, put.value, created, revision.toString(), put.lease ?: "0")
            entries[put.key] = entry
            history += entry
        }
        operation.delete?.let { entries.remove(it.key) }
        return ResponseOp(operation.range?.let { range(it) })
    }

    private fun isTrue(compare: Compare): Boolean {
        val entry = entries[compare.key]
        val expected = compare.modRevision ?: compare.createRevision ?: "0"
        val actual = if (compare.target == "MOD") entry?.modRevision else entry?.createRevision
        return (actual ?: "0") == expected
    }
}

/** Compares decoded keys, as the order of base64 texts differs from that of their bytes. */
private fun inRange(
    key: String,
    from: String,
    to: String,
): Boolean = decoded(key) >= decoded(from) && decoded(key) < decoded(to)

private fun decoded(text: String): String = String(Base64.getDecoder().decode(text))
