package bergamotwall.gateway.batches

import kotlinx.serialization.Serializable

/** Bounds of the work on batches; times in milliseconds, sizes in characters. */
@Serializable
public data class BatchSettings(
    /** A batch that could not be made durable by then is refused; trainers expect the answer in half a second. */
    val acceptMillis: Long = 3_000,
    /** An engine pauses for about a second to load weights; one that is silent for longer is taken for gone. */
    val silenceMillis: Long = 2_500,
    /** Results that end within this time share one call to the key-value service; a trainer reads twice a second. */
    val gatherMillis: Long = 250,
    /** The key-value service holds values of up to a megabyte; base64 and JSON escapes need room. */
    val partChars: Int = 400_000,
    /** A page of results has at most a megabyte. */
    val pageChars: Int = 600_000,
    /** A process with more unfinished items takes no batches over from others: two large steps of one trainer. */
    val homeItems: Int = 400,
    /** A submission that another process has not accepted by then is accepted here; the answer is due in 500 ms. */
    val handOverMillis: Long = 250,
    /** A process that does not answer a peer in this time is asked through the key-value service instead. */
    val peerTimeoutMillis: Long = 700,
)
