package bergamotwall.drivers

import bergamotwall.model.VmList
import com.github.michaelbull.result.Result

/** The platform's list of VMs, which can lag behind the VMs that run. */
public interface VmListSource {
    /** Fetches the list that the platform currently serves. */
    public suspend fun fetch(): Result<VmList, TargetError>
}
