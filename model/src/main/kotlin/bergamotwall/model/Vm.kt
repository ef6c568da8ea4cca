package bergamotwall.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Kind of process that runs on a VM. */
@Serializable
public enum class VmRole {
    /** A process of the fleet: entry, controller or sample store. */
    @SerialName("node")
    NODE,

    /** A model engine replica. */
    @SerialName("engine")
    ENGINE,

    /** An instance of a plain service. */
    @SerialName("service")
    SERVICE,
}

/** An entry of the VM list. [serves] is the model or service name, [address] is `host:port`. */
@Serializable
public data class Vm(
    val id: String,
    val role: VmRole,
    val serves: String,
    val address: String,
    val dataCentre: DataCentre,
    val leaving: Boolean = false,
)

/** The VM list as last observed; a higher [revision] is newer. */
@Serializable
public data class VmList(val revision: Long = 0, val vms: List<Vm> = emptyList())
