package bergamotwall.gateway.intake

/** What one connection holds of [memory]. [add], [hold] and [release] run on its event loop. */
internal class HeldMemory(private val memory: IntakeMemory) {
    private val held = LongArray(IntakeClass.entries.size)

    /** Bytes held in all classes. */
    @Volatile
    var heldBytes = 0L
        private set

    /** Whether a request of [bytes] is an ordinary small one. */
    fun isSmall(bytes: Long): Boolean = memory.budget.isSmall(bytes)

    fun of(kind: IntakeClass): Long = held[kind.ordinal]

    fun hold(
        kind: IntakeClass,
        bytes: Long,
        privileged: Boolean,
    ): Boolean {
        val admitted = memory.hold(kind, bytes, heldBytes, privileged)
        if (admitted) count(kind, bytes)
        return admitted
    }

    fun add(
        kind: IntakeClass,
        bytes: Long,
    ) {
        memory.add(kind, bytes)
        count(kind, bytes)
    }

    /** Releases what is held for a request that was answered. */
    fun releaseRequest() {
        release(IntakeClass.HEADS)
        release(IntakeClass.BODIES)
    }

    fun release(kind: IntakeClass): Unit = add(kind, -held[kind.ordinal])

    private fun count(
        kind: IntakeClass,
        bytes: Long,
    ) {
        held[kind.ordinal] += bytes
        heldBytes += bytes
    }
}
