package bergamotwall.gateway.intake

import bergamotwall.decisions.admission.IntakeBudget
import bergamotwall.drivers.http.MemoryAccount
import java.util.concurrent.atomic.AtomicLongArray

/** Memory that is held for clients, by class, as part of [account] and within [budget]. Thread-safe. */
internal class IntakeMemory(
    val account: MemoryAccount,
    val budget: IntakeBudget,
) {
    private val held = AtomicLongArray(IntakeClass.entries.size)

    fun heldBytes(kind: IntakeClass): Long = held.get(kind.ordinal)

    /** Holds [bytes] for a request that holds [ownBytes], if the budget admits them. */
    fun hold(
        kind: IntakeClass,
        bytes: Long,
        ownBytes: Long,
        privileged: Boolean,
    ): Boolean {
        val admitted = account.addIf(bytes) { budget.admits(it, ownBytes, bytes, privileged) }
        if (admitted) held.addAndGet(kind.ordinal, bytes)
        return admitted
    }

    /** Records [bytes] more, or fewer if negative. */
    fun add(
        kind: IntakeClass,
        bytes: Long,
    ) {
        account.add(bytes)
        held.addAndGet(kind.ordinal, bytes)
    }
}
