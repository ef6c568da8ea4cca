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
 * Reads the VM list and watches the key-value service for the whole fleet; other processes learn of changes from peers.
 *
 * A constant number of controllers does this, chosen among the live ones by rendezvous hashing. Reading needs no lease,
 * so each side of a network partition has its own relays.
 */
internal class Relay(private val node: Node, private val vmListSource: VmListSource) {
    private var watchJob: Job? = null

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
            vmListSource.fetch().onSuccess { node.replicator.adoptIfNewer(it, "read from the VM list") }
            if (watchJob?.isActive != true) watchJob = node.scope.launch { watch() }
        } else {
            watchJob?.cancel()
        }
    }

    private suspend fun watch() {
        try {
            val revision = node.sharedState.readAll() ?: return
            node.sharedState.watch(revision + 1)
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
