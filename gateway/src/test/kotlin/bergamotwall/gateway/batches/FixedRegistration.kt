package bergamotwall.gateway.batches

import bergamotwall.drivers.Condition
import bergamotwall.drivers.KeyValueEntry
import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.Transaction
import bergamotwall.drivers.TransactionOutcome
import bergamotwall.drivers.Write
import bergamotwall.gateway.members.RegistrationFence
import com.github.michaelbull.result.get
import kotlinx.coroutines.runBlocking

/** The registration of process [name] in [store], which lasts until [end]. */
internal class FixedRegistration(private val store: KeyValueStore, name: String = "self") : RegistrationFence {
    private val key = "registration/$name"
    private var revision: Long? = null

    /** Number of writes that were declined because the registration had ended. */
    var declinedWrites = 0
        private set

    init {
        begin()
    }

    override val condition: Condition.Unchanged? get() = revision?.let { Condition.Unchanged(key, it) }

    override fun declined(
        condition: Condition.Unchanged,
        read: List<KeyValueEntry>,
    ) {
        if (read.none { it.key == key && it.modRevision == condition.modRevision }) declinedWrites++
    }

    /** Registers the process again; it doesn't know that its registration ended. */
    fun begin() {
        revision = (commit(Write.Put(key, "")) as TransactionOutcome.Committed).revision
    }

    /** Ends the registration, which the process only knows if it [notices] that. */
    fun end(notices: Boolean) {
        commit(Write.Delete(key))
        if (notices) revision = null
    }

    /** The in-memory service suspends no call. */
    private fun commit(write: Write): TransactionOutcome? =
        runBlocking { store.commit(Transaction(emptyList(), listOf(write))).get() }
}
