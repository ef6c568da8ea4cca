package bergamotwall.drivers.http

import com.linecorp.armeria.common.HttpData
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.reactivestreams.Subscription
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

internal class ReceivedPartsTest {
    private class Recorded : Subscription {
        var requested = 0L
        var cancelled = false

        override fun request(count: Long) {
            requested += count
        }

        override fun cancel() {
            cancelled = true
        }
    }

    /** Guards against a call that fails for another reason than its timeout if the subscription comes late. */
    @Test
    fun `a subscription that begins after the end is cancelled`() {
        val subscription = Recorded()
        val parts = ReceivedParts()
        parts.close()
        parts.onSubscribe(subscription)
        expectThat(subscription.cancelled).isTrue()
    }

    /** Guards against bodies that are held in memory as a whole. */
    @Test
    fun `a part is requested once the one before was taken`() =
        runBlocking<Unit> {
            val subscription = Recorded()
            ReceivedParts().use { parts ->
                parts.onSubscribe(subscription)
                parts.onNext(HttpData.ofUtf8("a"))
                expectThat(subscription.requested).isEqualTo(1)
                expectThat(parts.receive().getOrNull()?.toStringUtf8()).isEqualTo("a")
                expectThat(subscription.requested).isEqualTo(2)
                parts.onError(IllegalStateException("cut"))
                expectThat(parts.receive().exceptionOrNull()?.message).isEqualTo("cut")
                expectThat(subscription.cancelled).isFalse()
            }
            expectThat(subscription.cancelled).isTrue()
        }
}
