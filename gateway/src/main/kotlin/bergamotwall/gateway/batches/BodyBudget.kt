package bergamotwall.gateway.batches

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first

/**
 * Bounds the bodies of large batches that are in memory while they are sent to [maxBytes], or one if that is larger.
 * Confined to the batch loop.
 */
internal class BodyBudget(private val maxBytes: Long) {
    private val held = MutableStateFlow(0L)

    /** Waits until [bytes] more may be in memory, which [release] ends. */
    suspend fun acquire(bytes: Int) {
        while (!admits(held.value, bytes)) held.first { admits(it, bytes) }
        held.value += bytes
    }

    fun release(bytes: Int) {
        held.value -= bytes
    }

    private fun admits(
        heldBytes: Long,
        bytes: Int,
    ): Boolean = heldBytes == 0L || heldBytes + bytes <= maxBytes
}
