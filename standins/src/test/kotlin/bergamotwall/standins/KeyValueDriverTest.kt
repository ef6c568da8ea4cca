package bergamotwall.standins

import bergamotwall.drivers.Condition
import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.drivers.Write
import bergamotwall.drivers.etcd.KeyValueStore
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNull

/** Tests the etcd driver against the key-value stand-in over HTTP. */
internal class KeyValueDriverTest {
    private fun withStore(block: suspend (KeyValueStore, KeyValueStandIn) -> Unit): Unit =
        KeyValueStandIn("127.0.0.1:0", seed = 1).use { standIn ->
            runBlocking { block(KeyValueStore("127.0.0.1:${standIn.port}", TIMEOUT_MILLIS), standIn) }
        }

    private fun put(
        key: String,
        value: String,
        vararg conditions: Condition,
    ) = Transaction(conditions.toList(), listOf(Write.Put(key, value)), listOf(key))

    @Test
    fun `compare-and-swap commits the first write and shows its value to the second`() =
        withStore { store, _ ->
            expectThat(store.commit(put("k", "a", Condition.Absent("k"))).get()).isA<TransactionOutcome.Committed>()
            expectThat(store.commit(put("k", "b", Condition.Absent("k"))).get())
                .isA<TransactionOutcome.Declined>()
                .get { read.map { it.value } }
                .containsExactly("a")
            val entry = checkNotNull(store.get("k").get())
            store.commit(put("k", "c", Condition.Unchanged("k", entry.modRevision)))
            expectThat(store.get("k").get()?.value).isEqualTo("c")
            expectThat(store.commit(put("k", "d", Condition.Unchanged("k", entry.modRevision))).get())
                .isA<TransactionOutcome.Declined>()
        }

    @Test
    fun `revoking a lease deletes its keys, and it cannot be renewed`() =
        withStore { store, _ ->
            val lease = checkNotNull(store.grantLease(60).get())
            store.commit(Transaction(emptyList(), listOf(Write.Put("leased", "x", lease))))
            store.revoke(lease)
            expectThat(store.get("leased").get()).isNull()
            expectThat(store.keepAlive(lease).getError()).isA<KeyValueError.LeaseExpired>()
        }

    @Test
    fun `a watch reports the puts under its prefix from the requested revision on`() =
        withStore { store, standIn ->
            store.commit(put("p/a", "1"))
            val revision = checkNotNull(store.list("p/").get()).revision
            store.commit(put("q/b", "2"))
            store.commit(put("p/c", "3"))
            expectThat(store.watch("p/", revision + 1).first().key).isEqualTo("p/c")
            expectThat(standIn.calls.watches).isEqualTo(1)
        }

    @ParameterizedTest(name = "outage {0}, lost responses {1}%: may have applied {2}, has applied {3}")
    @CsvSource("true, 0, true, false", "false, 100, true, true")
    fun `a failed write reports whether it may have applied`(
        outage: Boolean,
        lostPercent: Int,
        mayHaveApplied: Boolean,
        applied: Boolean,
    ) = withStore { store, standIn ->
        standIn.setFaults(KeyValueFaults(outage, 0, lostPercent, Long.MAX_VALUE))
        expectThat(store.commit(put("k", "v")).getError())
            .isA<KeyValueError.Unavailable>()
            .get { this.mayHaveApplied }
            .isEqualTo(mayHaveApplied)
        standIn.setFaults(KeyValueFaults())
        expectThat(store.get("k").get() != null).isEqualTo(applied)
        expectThat(standIn.calls.writes).isGreaterThan(0)
    }

    @Test
    fun `a write to a stopped service did not apply`(): Unit =
        runBlocking {
            val port = KeyValueStandIn("127.0.0.1:0", seed = 1).use { it.port }
            expectThat(KeyValueStore("127.0.0.1:$port", TIMEOUT_MILLIS).commit(put("k", "v")).getError())
                .isA<KeyValueError.Unavailable>()
                .get { mayHaveApplied }
                .isEqualTo(false)
        }

    private companion object {
        private const val TIMEOUT_MILLIS = 20_000L
    }
}
