package bergamotwall.entry

import bergamotwall.model.Finished
import bergamotwall.model.Granted
import bergamotwall.model.Offer
import bergamotwall.model.Problem
import com.github.michaelbull.result.Result

/** Gives permits to run requests on targets. */
internal interface PermitSource {
    /** Waits for a permit until the offer's deadline. A failure means that the request did not run. */
    suspend fun acquire(
        offer: Offer,
        trace: String?,
    ): Result<Granted, Problem>

    /** Returns a permit. Goes on in the background, so that a cancelled request returns it too. */
    fun finish(finished: Finished)
}
