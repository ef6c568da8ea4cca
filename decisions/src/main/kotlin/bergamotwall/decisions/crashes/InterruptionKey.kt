package bergamotwall.decisions.crashes

import bergamotwall.model.Fingerprint
import bergamotwall.model.TargetId

/** Identifies the interruption of a run of [content] at [target]. */
public data class InterruptionKey(val content: Fingerprint, val target: TargetId)
