package bergamotwall.gateway.batches

import bergamotwall.gateway.rewards.RewardSettings
import kotlinx.serialization.Serializable

/** Limits for running batches; times in milliseconds, sizes in characters of ASCII, each of which takes a byte. */
@Serializable
public data class BatchSettings(
    /**
     * Deadline for storing a batch, or its end, durably; a batch that could not be stored by then is refused. Trainers
     * expect the response within half a second.
     */
    val acceptMillis: Long = 3_000,
    /**
     * Longest wait for the next part of a target's response; a target that sends nothing for longer is treated as
     * failed. An engine pauses for about a second to load weights.
     */
    val silenceMillis: Long = 2_500,
    /**
     * Results that complete within this time are appended in one call to the key-value service. A trainer reads twice a
     * second.
     */
    val gatherMillis: Long = 250,
    /**
     * Largest chunk of stored items. The key-value service limits values to a megabyte, and base64 and JSON escapes
     * need part of that.
     */
    val partChars: Int = 400_000,
    /** Largest page of results; keeps a page below a megabyte. */
    val pageChars: Int = 600_000,
    /**
     * A process with this many unfinished items (two large steps of one trainer) declines batches of other processes.
     */
    val homeItems: Int = 400,
    /**
     * Longest wait for the assigned owner to accept a submission, which this process then accepts itself. The caller
     * expects the response within 500 ms.
     */
    val handOverMillis: Long = 250,
    /**
     * Size of the batches that the process holds in memory, from which on it releases the oldest ones that are complete
     * or ended. They are read from the key-value service then.
     */
    val retainedChars: Long = Runtime.getRuntime().maxMemory() / RETAINED_HEAP_PARTS,
    /**
     * How long after the end of a batch its items may still reach targets. An owner that was not told of the end learns
     * of it in this time.
     */
    val endMillis: Long = 3_000,
    /** Longest wait for the response of a batch's owner, after which the key-value service is read instead. */
    val peerTimeoutMillis: Long = 700,
    val rewards: RewardSettings = RewardSettings(),
)

private const val RETAINED_HEAP_PARTS = 6
