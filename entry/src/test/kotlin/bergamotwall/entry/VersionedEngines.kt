package bergamotwall.entry

import bergamotwall.drivers.EngineChunk
import bergamotwall.drivers.EngineDriver
import bergamotwall.drivers.EngineRequest
import bergamotwall.drivers.TargetError
import bergamotwall.model.TargetReport
import bergamotwall.model.WeightOrder
import bergamotwall.model.WeightVersion
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** Engines that complete each request with one chunk of the current version, and run [onGenerate] after it. */
internal class VersionedEngines(
    private val version: () -> Long,
    private val onGenerate: suspend () -> Unit,
) : EngineDriver {
    override suspend fun report(address: String): Result<TargetReport, TargetError> = Ok(TargetReport())

    override suspend fun order(
        address: String,
        order: WeightOrder,
    ): Result<Unit, TargetError> = Ok(Unit)

    override suspend fun complete(
        address: String,
        request: EngineRequest,
        onChunk: suspend (EngineChunk) -> Unit,
    ): Result<Unit, TargetError> {
        val current = WeightVersion(version())
        onChunk(EngineChunk("x", 1, current, "stop"))
        onGenerate()
        return Ok(Unit)
    }
}
