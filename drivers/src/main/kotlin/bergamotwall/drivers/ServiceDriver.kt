package bergamotwall.drivers

import com.github.michaelbull.result.Result

/** Client of plain services. */
public interface ServiceDriver {
    /** Sends [request] once and returns the complete response, whatever its status. */
    public suspend fun call(
        address: String,
        request: ServiceRequest,
    ): Result<ServiceResponse, TargetError>
}
