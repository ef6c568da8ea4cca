package bergamotwall.drivers

import com.github.michaelbull.result.Result

/** Talks to plain services. */
public interface ServiceDriver {
    /** Sends [request] once and returns the whole answer, whatever its status. */
    public suspend fun call(
        address: String,
        request: ServiceRequest,
    ): Result<ServiceAnswer, TargetError>
}
