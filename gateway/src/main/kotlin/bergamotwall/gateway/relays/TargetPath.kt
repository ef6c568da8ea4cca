package bergamotwall.gateway.relays

/**
 * The path from this process to one address, at times on the monotonic clock. Immutable; [TargetPaths] holds the
 * current state.
 */
internal data class TargetPath(
    val lost: Boolean = false,
    val lostAtMillis: Long = Long.MIN_VALUE,
    val receivedAtMillis: Long = Long.MIN_VALUE,
    val checkedAtMillis: Long = Long.MIN_VALUE,
    val usedAtMillis: Long = Long.MIN_VALUE,
    val noRelayUntilMillis: Long = Long.MIN_VALUE,
) {
    /** Whether requests should be relayed at [nowMillis]. */
    fun relays(nowMillis: Long): Boolean = lost && nowMillis >= noRelayUntilMillis

    /** Whether the path should be checked at [nowMillis], if a response has been owed since [owedSinceMillis]. */
    fun checkDue(
        owedSinceMillis: Long,
        nowMillis: Long,
        settings: RelaySettings,
    ): Boolean {
        val silentSinceMillis = maxOf(receivedAtMillis, owedSinceMillis)
        return mayCheck(nowMillis, settings) && nowMillis - silentSinceMillis >= settings.silenceMillis
    }

    /** Whether the path may be checked at [nowMillis]: it is not known to be lost, and the last check is long ago. */
    fun mayCheck(
        nowMillis: Long,
        settings: RelaySettings,
    ): Boolean =
        !lost && (checkedAtMillis == Long.MIN_VALUE || nowMillis - checkedAtMillis >= settings.checkPauseMillis)

    /** Whether the path was lost less than [RelaySettings.suspicionMillis] before [nowMillis]. */
    fun lostLately(
        nowMillis: Long,
        settings: RelaySettings,
    ): Boolean = lostAtMillis != Long.MIN_VALUE && nowMillis - lostAtMillis < settings.suspicionMillis
}
