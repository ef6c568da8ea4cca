package bergamotwall.entry

import bergamotwall.model.DispatchRequest
import bergamotwall.model.PermitGranted
import bergamotwall.model.RunFinished
import bergamotwall.model.RunOutcome

/**
 * The message that returns [permit] after a run of [durationMillis] with a non-streamed response. For streams, the
 * caller of this function copies it with the time to first token, the tokens and the versions.
 */
internal fun finishedOf(
    dispatchRequest: DispatchRequest,
    permit: PermitGranted,
    outcome: RunOutcome,
    durationMillis: Long,
): RunFinished =
    RunFinished(
        request = dispatchRequest.id,
        serves = dispatchRequest.serves,
        target = permit.target,
        fingerprint = dispatchRequest.fingerprint,
        outcome = outcome,
        firstTokenMillis = durationMillis,
        durationMillis = durationMillis,
        tokens = 1,
        versions = emptyList(),
    )
