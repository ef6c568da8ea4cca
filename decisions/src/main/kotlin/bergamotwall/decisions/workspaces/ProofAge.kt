package bergamotwall.decisions.workspaces

/**
 * Time since a proof on the monotonic and on the wall clock. The monotonic clock may stand still while the VM is
 * suspended, and the wall clock may be set back, so the longer time counts: a wall clock set ahead makes a proof look
 * older, which costs a refusal, never a request that must not run.
 */
public data class ProofAge(val monotonicMillis: Long, val wallMillis: Long) {
    /** The time that counts. */
    val millis: Long get() = maxOf(monotonicMillis, wallMillis)
}
