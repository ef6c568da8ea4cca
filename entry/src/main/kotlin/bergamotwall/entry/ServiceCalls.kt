package bergamotwall.entry

import bergamotwall.drivers.ServiceResponse
import bergamotwall.model.Problem
import com.github.michaelbull.result.Result

/** Runs calls of plain services. */
internal fun interface ServiceCalls {
    /** Runs [call], whose span is [trace]: acquires a permit, calls a target, and retries only where that is safe. */
    suspend fun run(
        call: ServiceCall,
        trace: String,
    ): Result<ServiceResponse, Problem>
}
