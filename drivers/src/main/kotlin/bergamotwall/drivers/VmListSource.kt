package bergamotwall.drivers

import bergamotwall.model.VmList
import com.github.michaelbull.result.Result

/** The platform's lagging list of VMs. */
public interface VmListSource {
    /** The list as the platform gives it now. */
    public suspend fun fetch(): Result<VmList, TargetError>
}
