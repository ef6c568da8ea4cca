package bergamotwall.controller

import bergamotwall.drivers.VmListSource
import bergamotwall.runtime.Node
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.tinylog.Logger

/**
 * Watches the key-value service and reads the VM list, on a constant number of controllers: those that come first by
 * rendezvous hashing among the live ones. Reading needs no lease, so both sides of a split have relays of their own.
 */
internal class Relay(private val node: Node, private val vms: VmListSource) {
    private var watching: Job? = null

    fun start() {
        node.scope.launch {
            while (true) {
                step()
                delay(STEP_MILLIS)
            }
        }
    }

    /** Whether this controller is a relay now. */
    fun isRelay(): Boolean = node.isCandidate("relay", RELAYS)

    private suspend fun step() {
        if (isRelay()) {
            vms.fetch().onSuccess { node.keeper.offer(it, "read from the VM list") }
            if (watching?.isActive != true) watching = node.scope.launch { watch() }
        } else {
            watching?.cancel()
        }
    }

    private suspend fun watch() {
        try {
            val revision = node.shared.readAll() ?: return
            node.shared.watch(revision + 1)
        } catch (e: CancellationException) {
            throw e
        } catch (
            @Suppress("TooGenericExceptionCaught") e: Exception,
        ) {
            Logger.debug("event={} detail=\"{}\"", "watch ended", e.message)
        }
    }

    private companion object {
        private const val RELAYS = 2
        private const val STEP_MILLIS = 500L
    }
}
