package bergamotwall.standins

import bergamotwall.model.Jsons
import bergamotwall.model.Vm
import bergamotwall.model.VmList
import bergamotwall.runtime.aggregatedService
import bergamotwall.runtime.jsonResponse
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.Server
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicReference

/** Stand-in for the platform's VM list: a change is visible after [lagMillis]. */
public class VmListStandIn(address: String, private val lagMillis: Long) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val visible = AtomicReference(VmList())
    private val server: Server =
        serverAt(address) { builder ->
            builder.route().get("/v1/vms").build { _, _ -> jsonResponse(VmList.serializer(), visible.get()) }
            builder.route().post("/v1/vms").build(
                aggregatedService(scope) { _, request ->
                    put(Jsons.wire.decodeFromString(Vm.serializer(), request.contentUtf8()))
                    HttpResponse.of(HttpStatus.OK)
                },
            )
        }

    /** Port that the server listens on. */
    public val port: Int get() = server.activeLocalPort()

    /** Adds [vm] to the list, or replaces the entry with its id. */
    public fun put(vm: Vm) {
        scope.launch {
            delay(lagMillis)
            visible.updateAndGet { list -> VmList(list.revision + 1, list.vms.filter { it.id != vm.id } + vm) }
        }
    }

    override fun close() {
        scope.cancel()
        server.stop().join()
    }
}
