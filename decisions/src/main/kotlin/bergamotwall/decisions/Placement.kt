package bergamotwall.decisions

import bergamotwall.model.Offer
import bergamotwall.model.TargetId
import bergamotwall.model.TargetReport
import kotlin.random.Random

/** Which target a request may run on, by what is known of the targets and suspected of the content. Not thread-safe. */
internal class Placement(
    private val targets: Targets,
    private val permits: PermitBook,
    private val suspicion: CrashSuspicion,
    random: Random,
) {
    private val prefixes = PrefixMap()
    private val choice = ReplicaChoice(prefixes, random)
    private val blame = Blame(suspicion)

    /** Best target for [offer], or null if none can take it now. */
    fun place(
        offer: Offer,
        nowMillis: Long,
    ): TargetState? {
        val excluded = if (othersUsable(offer, nowMillis)) offer.excluded else emptySet()
        return choice.choose(targets, offer.prefix, offer.dataCentre) { target ->
            target.free > 0 &&
                target.id !in excluded &&
                eligible(target, offer, nowMillis) &&
                safe(target, offer, nowMillis)
        }
    }

    fun granted(
        offer: Offer,
        target: TargetState,
    ): Unit = prefixes.sent(offer.prefix, target.id)

    fun reported(
        target: TargetState,
        report: TargetReport,
        nowMillis: Long,
    ) {
        blame.reported(target.id, report.bootId)
        if (target.bootId != report.bootId) prefixes.forget(target.id)
        target.report(report, nowMillis)
        prefixes.reported(target.id, report.cachedPrefixes, report.cacheSequence)
    }

    fun broke(
        permit: Permit,
        nowMillis: Long,
    ): Unit = blame.broke(permit.target, permit.offer.fingerprint, nowMillis)

    private fun eligible(
        target: TargetState,
        offer: Offer,
        nowMillis: Long,
    ): Boolean = target.usable(nowMillis) && target.version >= offer.minVersion

    /** Content that never ran whole stays on few targets; suspects share no target, and return to none they broke. */
    private fun safe(
        target: TargetState,
        offer: Offer,
        nowMillis: Long,
    ): Boolean {
        val content = offer.fingerprint
        val busy = permits.targetsOf(content)
        val touched = busy.size + suspicion.crashedTargets(content, nowMillis)
        val bounded = target in busy || touched < CrashSuspicion.MAX_TARGETS
        return when (suspicion.standing(content, nowMillis)) {
            Standing.PROVEN -> true
            Standing.UNPROVEN -> bounded
            Standing.SUSPECT -> bounded && blame.allowsSuspect(target, content, nowMillis)
            Standing.QUARANTINED -> false
        }
    }

    private fun othersUsable(
        offer: Offer,
        nowMillis: Long,
    ): Boolean = offer.excluded.isNotEmpty() && targets.all().any { isOther(it, offer.excluded, nowMillis) }

    private fun isOther(
        target: TargetState,
        excluded: Set<TargetId>,
        nowMillis: Long,
    ): Boolean = target.id !in excluded && target.usable(nowMillis)
}
