package bergamotwall.gateway.workspaces

import bergamotwall.decisions.workspaces.KeyValidity
import bergamotwall.decisions.workspaces.ProofAge
import bergamotwall.gateway.routes.RouteTable
import bergamotwall.gateway.store.WatchConfirmation
import bergamotwall.model.BatchOwnership
import bergamotwall.model.WorkspaceName
import bergamotwall.runtime.Clock

/**
 * Checks the keys of callers' requests against the configuration in force, [table]. [confirmation] is the latest proof
 * that it is the newest, [current] tells whether that is recent enough to state that a key does not exist.
 *
 * Guarantee: a key is accepted only if the configuration contained it at the time of the proof, and the proof is
 * recent, as [KeyValidity] decides. The proof is always read before the configuration, which is then at least as new.
 */
public class CallerKeys(
    private val table: () -> RouteTable,
    private val confirmation: () -> WatchConfirmation?,
    private val current: () -> Boolean,
    private val clock: Clock,
    settings: WorkspaceSettings,
    private val refusals: KeyRefusals,
) {
    private val validity = KeyValidity(settings.revokeMillis)

    /**
     * Access of the request [subject] with the [values] of its `Authorization` fields. [public]: it needs no key. One
     * with a key that is accepted is then served for its workspace nevertheless.
     */
    public fun authorize(
        subject: String,
        values: List<String>,
        public: Boolean = false,
    ): KeyAccess {
        val access = check(values, public)
        return if (access is KeyAccess.Refused) refuse(subject, access.refusal) else access
    }

    /** The same as [authorize], but a refusal is not recorded. */
    public fun check(
        values: List<String>,
        public: Boolean = false,
    ): KeyAccess {
        val proof = confirmation()
        val workspaces = table().workspaces
        if (!workspaces.active) return KeyAccess.Granted()
        val match = workspaces.authorize(values)
        val known = match as? KeyMatch.Known
        val refusal = if (known != null && !isRecent(proof)) KeyRefusal.UNPROVEN else refusalOf(match)
        return when {
            refusal == null && public -> KeyAccess.Granted(known?.workspace, removesKey = true)
            refusal == null && known != null ->
                KeyAccess.Granted(known.workspace, removesKey = true) { refusalOfSend(known) }
            public -> KeyAccess.Granted(removesKey = true)
            else -> KeyAccess.Refused(refusal ?: KeyRefusal.UNKNOWN)
        }
    }

    /** Whether a batch with [ownership] may be accessed by [workspace], to which the caller's key belongs. */
    public fun mayAccess(
        ownership: BatchOwnership,
        workspace: WorkspaceName?,
    ): Boolean = !table().workspaces.active || ownership.workspace == null || ownership.workspace == workspace

    /** Records that [subject] is refused because of [refusal], and returns that. */
    public fun refuse(
        subject: String,
        refusal: KeyRefusal,
    ): KeyAccess.Refused {
        val proof = ageOf(confirmation())
        val inputs = "configuration ${table().revision.value}, applied and confirmed ${proof?.millis} ms ago"
        refusals.record(subject, refusal, inputs)
        return KeyAccess.Refused(refusal)
    }

    private fun refusalOf(match: KeyMatch): KeyRefusal? =
        when {
            match is KeyMatch.Known -> null
            !current() -> KeyRefusal.NOT_KNOWN_YET
            match is KeyMatch.Missing -> KeyRefusal.MISSING
            match is KeyMatch.Malformed -> KeyRefusal.MALFORMED
            else -> KeyRefusal.UNKNOWN
        }

    private fun refusalOfSend(known: KeyMatch.Known): String? {
        val proof = confirmation()
        val workspaces = table().workspaces
        return when {
            !isRecent(proof) -> KeyRefusal.UNPROVEN.detail
            workspaces.active && workspaces.find(known.digest) == null -> "the key was removed before the send"
            else -> null
        }
    }

    private fun isRecent(proof: WatchConfirmation?): Boolean = validity.accepts(ageOf(proof))

    private fun ageOf(proof: WatchConfirmation?): ProofAge? =
        proof?.let { ProofAge(clock.monotonicMillis() - it.atMillis, clock.wallMillis() - it.atWallMillis) }
}
