package bergamotwall.gateway.store

import bergamotwall.drivers.KeyValueError
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** The key-value service as a process sees it that gets no response to some commits, which are carried out late. */
internal class LateStore(
    private val store: KeyValueStore,
    private val scope: CoroutineScope,
) : KeyValueStore by store {
    /** After how many milliseconds a commit is carried out; null if it is carried out at once and gets a response. */
    var lateMillis: (Transaction) -> Long? = { null }

    override suspend fun commit(transaction: Transaction): Result<TransactionOutcome, KeyValueError> {
        val executionMillis = lateMillis(transaction) ?: return store.commit(transaction)
        scope.launch {
            delay(executionMillis)
            store.commit(transaction)
        }
        delay(TIMEOUT_MILLIS)
        return Err(KeyValueError.Unavailable("no response", mayHaveApplied = true))
    }

    private companion object {
        private const val TIMEOUT_MILLIS = 500L
    }
}
