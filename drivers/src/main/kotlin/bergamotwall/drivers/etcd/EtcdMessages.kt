package bergamotwall.drivers.etcd

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Range request of the etcd v3 JSON gateway; keys and values are base64, 64-bit numbers are strings. */
@Serializable
public data class RangeRequest(
    val key: String,
    @SerialName("range_end") val rangeEnd: String? = null,
)

/** One key and its value. */
@Serializable
public data class EtcdKeyValue(
    val key: String,
    val value: String = "",
    @SerialName("create_revision") val createRevision: String = "0",
    @SerialName("mod_revision") val modRevision: String = "0",
    val lease: String = "0",
)

/** Header of every response. */
@Serializable
public data class ResponseHeader(val revision: String = "0")

/** Response to [RangeRequest]. */
@Serializable
public data class RangeResponse(
    val header: ResponseHeader = ResponseHeader(),
    val kvs: List<EtcdKeyValue> = emptyList(),
)

/** Put operation. */
@Serializable
public data class PutRequest(
    val key: String,
    val value: String,
    val lease: String? = null,
)

/** Delete operation. */
@Serializable
public data class DeleteRangeRequest(val key: String)

/** Condition of a transaction; [target] is `MOD` or `CREATE`. */
@Serializable
public data class Compare(
    val result: String,
    val target: String,
    val key: String,
    @SerialName("mod_revision") val modRevision: String? = null,
    @SerialName("create_revision") val createRevision: String? = null,
)

/** One operation of a transaction. */
@Serializable
public data class RequestOp(
    @SerialName("request_put") val put: PutRequest? = null,
    @SerialName("request_delete_range") val delete: DeleteRangeRequest? = null,
    @SerialName("request_range") val range: RangeRequest? = null,
)

/** Transaction. */
@Serializable
public data class TxnRequest(
    val compare: List<Compare> = emptyList(),
    val success: List<RequestOp> = emptyList(),
    val failure: List<RequestOp> = emptyList(),
)

/** Response to one operation of a transaction. */
@Serializable
public data class ResponseOp(@SerialName("response_range") val range: RangeResponse? = null)

/** Response to [TxnRequest]. */
@Serializable
public data class TxnResponse(
    val header: ResponseHeader = ResponseHeader(),
    val succeeded: Boolean = false,
    val responses: List<ResponseOp> = emptyList(),
)

/** Request for a lease. */
@Serializable
public data class LeaseGrantRequest(
    @SerialName("TTL") val ttlSeconds: String,
)

/** Request to renew or revoke a lease. */
@Serializable
public data class LeaseRequest(
    @SerialName("ID") val id: String,
)

/** Response to a lease request; a [ttlSeconds] of 0 means that the lease has expired. */
@Serializable
public data class LeaseResponse(
    @SerialName("ID") val id: String = "0",
    @SerialName("TTL") val ttlSeconds: String = "0",
)

/** Message of the response stream that lease renewal returns. */
@Serializable
public data class LeaseKeepAliveResponse(val result: LeaseResponse)

/** Request to start a watch. */
@Serializable
public data class WatchRequest(
    @SerialName("create_request") val create: WatchCreateRequest,
)

/** Key range of a watch, and the revision at which it starts. */
@Serializable
public data class WatchCreateRequest(
    val key: String,
    @SerialName("range_end") val rangeEnd: String,
    @SerialName("start_revision") val startRevision: String,
)

/** One line of a watch stream. */
@Serializable
public data class WatchResponse(val result: WatchResult)

/** Content of [WatchResponse]. */
@Serializable
public data class WatchResult(
    val header: ResponseHeader = ResponseHeader(),
    val created: Boolean = false,
    val events: List<WatchEvent> = emptyList(),
)

/** One change. */
@Serializable
public data class WatchEvent(val type: String = "PUT", val kv: EtcdKeyValue)
