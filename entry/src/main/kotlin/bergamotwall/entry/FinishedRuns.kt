package bergamotwall.entry

import bergamotwall.model.Finished
import bergamotwall.model.Granted
import bergamotwall.model.Offer
import bergamotwall.model.RunOutcome

/** Return of [permit] after a run of [durationMillis] whose answer came in one piece; streams say more by a copy. */
internal fun finishedOf(
    offer: Offer,
    permit: Granted,
    outcome: RunOutcome,
    durationMillis: Long,
): Finished =
    Finished(
        request = offer.request,
        serves = offer.serves,
        target = permit.target,
        fingerprint = offer.fingerprint,
        outcome = outcome,
        firstTokenMillis = durationMillis,
        durationMillis = durationMillis,
        tokens = 1,
        versions = emptyList(),
    )
