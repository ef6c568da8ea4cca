package bergamotwall.drivers

import bergamotwall.model.TargetReport
import bergamotwall.model.WeightOrder
import com.github.michaelbull.result.Result

/** Talks to model engines. Addresses are `host:port`. */
public interface EngineDriver {
    /** What the target says of itself. */
    public suspend fun report(address: String): Result<TargetReport, TargetError>

    /** Orders the engine to serve a version; returns once it accepted. */
    public suspend fun order(
        address: String,
        order: WeightOrder,
    ): Result<Unit, TargetError>

    /**
     * Runs [request], giving each piece to [onPiece] as it comes. Ok only if the engine said that the answer is whole.
     * Cancelling the coroutine cancels the run at the engine.
     */
    public suspend fun complete(
        address: String,
        request: EngineRequest,
        onPiece: suspend (EnginePiece) -> Unit,
    ): Result<Unit, TargetError>
}
