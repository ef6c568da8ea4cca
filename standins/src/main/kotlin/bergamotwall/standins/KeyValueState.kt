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
        val found =
            if (end == null) {
                listOfNotNull(entries[request.key])
            } else {
                entries.values.filter { inRange(it.key, request.key, end) }
            }
        return RangeResponse(header(), found)
    }

    fun txn(request: TxnRequest): TxnResponse {
        leases.expired().forEach { revoke(it) }
        val succeeded = request.compare.all { holds(it) }
        val operations = if (succeeded) request.success else request.failure
        if (operations.any { it.put != null || it.delete != null }) revision++
        val responses = operations.map { apply(it) }
        return TxnResponse(header(), succeeded, responses)
    }

    fun grant(ttlSeconds: Long): Long = leases.grant(ttlSeconds)

    /** Seconds that [lease] has after the renewal; 0 if it has lapsed. */
    fun keepAlive(lease: Long): Long {
        leases.expired().forEach { revoke(it) }
        return leases.keepAlive(lease)
    }

    fun revoke(lease: Long) {
        if (leases.revoke(lease)) dropOf(lease)
    }

    /** Entries put under [key] to [end] from [fromRevision] on. */
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

    private fun holds(compare: Compare): Boolean {
        val entry = entries[compare.key]
        val wanted = compare.modRevision ?: compare.createRevision ?: "0"
        val actual = if (compare.target == "MOD") entry?.modRevision else entry?.createRevision
        return (actual ?: "0") == wanted
    }

    private fun dropOf(lease: Long) {
        if (entries.values.removeIf { it.lease == lease.toString() }) revision++
    }
}

/** Order of base64 texts equals that of the bytes only after decoding. */
private fun inRange(
    key: String,
    from: String,
    to: String,
): Boolean = decoded(key) >= decoded(from) && decoded(key) < decoded(to)

private fun decoded(text: String): String = String(Base64.getDecoder().decode(text))
