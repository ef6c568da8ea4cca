package bergamotwall.gateway.relays

import bergamotwall.runtime.Clock
import org.tinylog.Logger
import java.util.concurrent.ConcurrentHashMap

/**
 * Which addresses this process reaches. A path is lost when a connection fails, and back when one is established.
 * Thread-safe.
 */
internal class TargetPaths(private val clock: Clock, private val settings: RelaySettings) {
    private val paths = ConcurrentHashMap<String, TargetPath>()

    /** Addresses that are not reached. */
    val lost: Set<String> get() = paths.filterValues { it.lost }.keys

    /** Whether several paths are lost, and most of those in use. */
    val mostLost: Boolean get() = paths.values.count { it.lost }.let { it >= MIN_LOST && it * 2 > paths.size }

    /** Records that [address] is in use. Returns its path. */
    fun used(address: String): TargetPath {
        val nowMillis = clock.monotonicMillis()
        return update(address) { it.copy(usedAtMillis = nowMillis) }
    }

    /** Whether the path to [address] is lost. */
    fun isLost(address: String): Boolean = paths[address]?.lost ?: false

    /** Records that a part of a response from [address] has arrived. */
    fun received(address: String) {
        val nowMillis = clock.monotonicMillis()
        update(address) { it.copy(receivedAtMillis = nowMillis) }
    }

    /** Records that a connection to [address] has failed because of [cause]. */
    fun lost(
        address: String,
        cause: String,
    ) {
        if (isLost(address)) return
        val nowMillis = clock.monotonicMillis()
        update(address) { it.copy(lost = true, lostAtMillis = nowMillis) }
        Logger.warn("event=path_lost address={} cause=\"{}\"", address, cause)
    }

    /** Records that a connection to [address] has been established. */
    fun restored(address: String) {
        update(address) { it.copy(lost = false) }
        Logger.info("event=path_restored address={}", address)
    }

    /** Records that no peer reaches [address] either. */
    fun noRelay(address: String) {
        val untilMillis = clock.monotonicMillis() + settings.noRelayMillis
        update(address) { it.copy(noRelayUntilMillis = untilMillis) }
    }

    /**
     * Whether the path to [address], which has owed a response since [owedSinceMillis], is to be checked now. The
     * caller checks it then.
     */
    fun startCheck(
        address: String,
        owedSinceMillis: Long,
    ): Boolean {
        val nowMillis = clock.monotonicMillis()
        val due = paths[address]?.checkDue(owedSinceMillis, nowMillis, settings) ?: false
        if (due) update(address) { it.copy(checkedAtMillis = nowMillis) }
        return due
    }

    /** The paths to be checked now because others were lost lately. The caller checks them then. */
    fun startChecksOfSuspects(): List<String> {
        val nowMillis = clock.monotonicMillis()
        if (paths.values.count { it.lostLately(nowMillis, settings) } < MIN_LOST) return emptyList()
        val suspects = paths.filterValues { it.mayCheck(nowMillis, settings) }.keys.toList()
        suspects.forEach { address -> update(address) { it.copy(checkedAtMillis = nowMillis) } }
        return suspects
    }

    /** Forgets the paths that have not been used lately. */
    fun forgetUnused() {
        val oldestMillis = clock.monotonicMillis() - UNUSED_MILLIS
        paths.values.removeIf { it.usedAtMillis < oldestMillis }
    }

    private fun update(
        address: String,
        next: (TargetPath) -> TargetPath,
    ): TargetPath = paths.compute(address) { _, path -> next(path ?: TargetPath()) } ?: TargetPath()

    private companion object {
        /** Longer than a target backs off, so that a path in use is not forgotten. */
        private const val UNUSED_MILLIS = 30_000L

        /** A single lost path is that of a target that has crashed. */
        private const val MIN_LOST = 2
    }
}
