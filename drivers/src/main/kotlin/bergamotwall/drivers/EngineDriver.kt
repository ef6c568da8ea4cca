package bergamotwall.drivers

import bergamotwall.model.TargetReport
import bergamotwall.model.WeightOrder
import com.github.michaelbull.result.Result

/** Client of model engines. Addresses are `host:port`. */
public interface EngineDriver {
    /** Fetches the engine's report of its state. */
    public suspend fun report(address: String): Result<TargetReport, TargetError>

    /** Orders the engine to serve a weight version; returns when the engine has accepted the order. */
    public suspend fun order(
        address: String,
        order: WeightOrder,
    ): Result<Unit, TargetError>

    /**
     * Runs [request] and passes each chunk to [onChunk] as it arrives. Succeeds only if the engine marked the end of
     * the stream. Cancelling the coroutine cancels the run at the engine.
     */
    public suspend fun complete(
        address: String,
        request: EngineRequest,
        onChunk: suspend (EngineChunk) -> Unit,
    ): Result<Unit, TargetError>
}
