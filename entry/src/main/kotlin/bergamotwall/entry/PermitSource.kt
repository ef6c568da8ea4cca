package bergamotwall.entry

import bergamotwall.model.DispatchRequest
import bergamotwall.model.PermitGranted
import bergamotwall.model.Problem
import bergamotwall.model.RunFinished
import com.github.michaelbull.result.Result

/** Grants permits to run requests on targets. */
internal interface PermitSource {
    /** Waits for a permit until the deadline of [request]. A failure means that the request did not run. */
    suspend fun acquire(
        request: DispatchRequest,
        trace: String?,
    ): Result<PermitGranted, Problem>

    /** Returns a permit. Runs in the background, so that a cancelled request returns its permit too. */
    fun finish(finished: RunFinished)
}
