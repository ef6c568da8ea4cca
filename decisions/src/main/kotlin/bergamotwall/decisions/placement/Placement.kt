package bergamotwall.decisions.placement

import bergamotwall.decisions.crashes.CrashAttribution
import bergamotwall.decisions.crashes.CrashSuspicion
import bergamotwall.decisions.crashes.SuspicionVerdict
import bergamotwall.model.DispatchRequest
import bergamotwall.model.TargetId
import bergamotwall.model.TargetReport
import kotlin.random.Random

/** Chooses the target of a request by the state of the targets and the suspicion of its content. Not thread-safe. */
internal class Placement(
    private val targets: Targets,
    private val permits: PermitTable,
    private val suspicion: CrashSuspicion,
    random: Random,
) {
    private val prefixes = PrefixMap()
    private val choice = ReplicaChoice(prefixes, random)
    private val attribution = CrashAttribution(suspicion)

    /** Best target for [request], or null if none can take it now. */
    fun place(
        request: DispatchRequest,
        nowMillis: Long,
    ): TargetState? {
        val excluded = if (othersUsable(request, nowMillis)) request.excluded else emptySet()
        return choice.choose(targets, request.prefix, request.dataCentre) { target ->
            target.free > 0 &&
                target.id !in excluded &&
                eligible(target, request, nowMillis) &&
                safe(target, request, nowMillis)
        }
    }

    fun granted(
        request: DispatchRequest,
        target: TargetState,
    ): Unit = prefixes.sent(request.prefix, target.id)

    fun reported(
        target: TargetState,
        report: TargetReport,
        nowMillis: Long,
    ) {
        attribution.reported(target.id, report.bootId)
        if (target.bootId != report.bootId) prefixes.removeTarget(target.id)
        target.report(report, nowMillis)
        prefixes.reported(target.id, report.cachedPrefixes, report.cacheSequence)
    }

    fun interrupted(
        permit: Permit,
        nowMillis: Long,
    ) {
        if (!permit.request.fromBatch) attribution.interrupted(permit.target, permit.request.fingerprint, nowMillis)
    }

    private fun eligible(
        target: TargetState,
        request: DispatchRequest,
        nowMillis: Long,
    ): Boolean = target.usable(nowMillis) && target.version >= request.minVersion

    /**
     * Whether crash suspicion allows [request] on [target]. An item of a batch is never suspected: it is owed however
     * many targets crashed under it. Other content that never completed runs on a limited number of targets. A suspect
     * also shares no target with another suspect, and stays away from targets that it may just have crashed.
     */
    private fun safe(
        target: TargetState,
        request: DispatchRequest,
        nowMillis: Long,
    ): Boolean {
        if (request.fromBatch) return true
        val content = request.fingerprint
        val busy = permits.targetsOf(content)
        val exposed = busy.size + suspicion.crashedTargets(content, nowMillis)
        val bounded = target in busy || exposed < CrashSuspicion.MAX_TARGETS
        return when (suspicion.verdict(content, nowMillis)) {
            SuspicionVerdict.PROVEN -> true
            SuspicionVerdict.UNPROVEN -> bounded
            SuspicionVerdict.SUSPECT -> bounded && attribution.allowsSuspect(target, content, nowMillis)
            SuspicionVerdict.QUARANTINED -> false
        }
    }

    private fun othersUsable(
        request: DispatchRequest,
        nowMillis: Long,
    ): Boolean = request.excluded.isNotEmpty() && targets.all().any { isOther(it, request.excluded, nowMillis) }

    private fun isOther(
        target: TargetState,
        excluded: Set<TargetId>,
        nowMillis: Long,
    ): Boolean = target.id !in excluded && target.usable(nowMillis)
}
