package bergamotwall.drivers.etcd

import bergamotwall.drivers.Condition
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.drivers.Write
import com.github.michaelbull.result.map
import java.util.Base64

/** Converts [transaction] to a request of etcd's JSON gateway. */
public fun txnOf(transaction: Transaction): TxnRequest =
    TxnRequest(
        compare = transaction.conditions.map(::compare),
        success = transaction.writes.map(::operation),
        failure = transaction.orElseRead.map { RequestOp(range = RangeRequest(base64Of(it))) },
    )

internal fun compare(condition: Condition): Compare =
    when (condition) {
        is Condition.Absent -> Compare("EQUAL", "CREATE", base64Of(condition.key), createRevision = "0")
        is Condition.Unchanged ->
            Compare("EQUAL", "MOD", base64Of(condition.key), modRevision = condition.modRevision.toString())
    }

internal fun operation(write: Write): RequestOp =
    when (write) {
        is Write.Put -> {
            val lease = write.lease?.value?.toString()
            RequestOp(put = PutRequest(base64Of(write.key), base64Of(write.value), lease))
        }
        is Write.Delete -> RequestOp(delete = DeleteRangeRequest(base64Of(write.key)))
    }

/** Converts the response to a transaction. */
public fun outcomeOf(response: TxnResponse): TransactionOutcome =
    if (response.succeeded) {
        TransactionOutcome.Committed(response.header.revision.toLong())
    } else {
        TransactionOutcome.Declined(response.responses.flatMap { it.range?.kvs.orEmpty() }.map(::entryOf))
    }

/** Decodes [kv]. */
public fun entryOf(kv: EtcdKeyValue): KeyValueEntry =
    KeyValueEntry(textOf(kv.key), textOf(kv.value), kv.modRevision.toLong(), kv.createRevision.toLong())

/** Encodes [text] as base64. */
public fun base64Of(text: String): String = Base64.getEncoder().encodeToString(text.toByteArray())

internal fun textOf(text: String): String = String(Base64.getDecoder().decode(text))

/** Exclusive end of the range of keys that start with [prefix]. */
public fun rangeEndOf(prefix: String): String = prefix.dropLast(1) + (prefix.last() + 1)
