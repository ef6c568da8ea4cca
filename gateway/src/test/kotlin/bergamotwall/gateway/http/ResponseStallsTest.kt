package bergamotwall.gateway.http

import bergamotwall.drivers.http.SharedBuffer
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.random.Random

/** A paused response whose parts have all been taken is read again. */
internal class ResponseStallsTest {
    private val untaken = UntakenBytes(LIMIT_BYTES, SharedBuffer())
    private val parts = ConcurrentLinkedQueue<Int>()
    private val resumed = Semaphore(0)

    @Test
    fun `a pause ends once the parts are taken`() {
        val taker = thread(isDaemon = true) { takeParts() }
        val random = Random(1)
        var received = 0
        var stalled = false
        while (!stalled && received < PARTS) {
            val bytes = random.nextInt(1, MAX_PART_BYTES)
            untaken.received(bytes)
            parts.add(bytes)
            received++
            while (!stalled && !untaken.withinLimit) stalled = !resumed.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS)
        }
        expectThat(received).isEqualTo(PARTS)
        taker.join()
    }

    private fun takeParts() {
        var taken = 0
        while (taken < PARTS) {
            val bytes = parts.poll()
            if (bytes == null) {
                Thread.onSpinWait()
            } else {
                taken++
                if (untaken.taken(bytes)) resumed.release()
            }
        }
    }

    private companion object {
        private const val LIMIT_BYTES = 64L
        private const val MAX_PART_BYTES = 64
        private const val PARTS = 3_000_000
        private const val TIMEOUT_SECONDS = 30L
    }
}
