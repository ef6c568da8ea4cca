package bergamotwall.entry

import bergamotwall.model.Finished
import bergamotwall.model.Granted
import bergamotwall.model.Offer
import bergamotwall.model.Problem
import com.github.michaelbull.result.Result

/** Grants permits to run requests on targets. */
internal interface PermitSource {
    /** Waits for a permit until the deadline of [request]. A failure means that the request did not run. */
    suspend fun acquire(
        request: Offer,
        trace: String?,
    ): Result<Granted, Problem>

    /** Returns a permit. Runs in the background, so that a cancelled request returns its permit too. */
    fun finish(finished: Finished)
}
