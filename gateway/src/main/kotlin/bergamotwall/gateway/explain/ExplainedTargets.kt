package bergamotwall.gateway.explain

import bergamotwall.decisions.placement.expectedMillis
import bergamotwall.gateway.targets.TargetView
import bergamotwall.model.TargetId

/** What the placement of a request makes of the usable target [view], where it may choose any of [choices]. */
internal fun verdictOf(
    view: TargetView,
    choices: List<TargetId>,
): String {
    val chosen = choices.firstOrNull() == view.target.id
    val candidate = view.candidate
    return when {
        candidate.admitted <= 0 -> "not usable: this process has used up its share of the request limit"
        chosen && !candidate.available -> "chosen: it backs off, and so do all others"
        chosen -> "chosen: expected to be fastest"
        view.target.id in choices -> "may be chosen: about as fast as the chosen one"
        !candidate.available -> "not chosen: it backs off"
        candidate.running >= candidate.slots -> "not chosen: slower, because its slots are in use"
        else -> "not chosen: slower"
    }
}

/** What the placement of items makes of the usable target [view], to which [items] items would be sent. */
internal fun itemVerdictOf(
    view: TargetView,
    eligible: Boolean,
    items: Int,
): String {
    val candidate = view.candidate
    return when {
        !eligible -> "not usable: its weights are older than the batch requires"
        items > 0 -> "chosen for $items items"
        candidate.admitted <= 0 -> "not usable: this process has used up its share of the request limit"
        !candidate.available -> "not usable: it backs off"
        candidate.free <= 0 -> "not usable: its slots are in use"
        else -> "not chosen: no item is left for it"
    }
}

/** [view] as it is explained, with [verdict]. */
internal fun explainedTarget(
    view: TargetView,
    verdict: String,
): ExplainedTarget =
    ExplainedTarget(
        id = view.target.id.value,
        address = view.target.address,
        verdict = verdict,
        dataCentre = view.target.dataCentre.value,
        local = view.candidate.local,
        softwareVersion = view.target.softwareVersion?.value,
        weightVersions = view.target.versions.entries.associate { (model, version) -> model.value to version.value },
        expectedMillis = expectedMillis(view.candidate),
        latencyMillis = view.candidate.latencyMillis,
        latencyAgeMillis = view.load.latencyAgeMillis,
        slots = view.candidate.slots,
        ownRequests = view.load.ownRequests,
        otherRequests = view.load.otherRequests,
        otherRequestsAgeMillis = view.load.otherRequestsAgeMillis,
        slowdown = view.candidate.slowdown?.reported,
        slowdownAgeMillis = view.candidate.slowdown?.ageMillis,
        failures = view.load.failures,
        backoffMillis = view.load.backoffMillis,
        probing = view.load.probing,
        limit =
        view.limit?.let { limit ->
            val waitMillis = limit.waitMillis.takeIf { it != Long.MAX_VALUE }
            ExplainedLimit(limit.perSecond, limit.ageMillis, limit.sharePerSecond, limit.admitted, waitMillis)
        },
    )

/** What would change the choice of a target of [service], whose targets are [views]. */
internal fun changesOf(
    views: List<TargetView>,
    service: ExplainedService,
): List<String> {
    val waits =
        views.mapNotNull { view ->
            val id = view.target.id.value
            val waitMillis = view.limit?.takeIf { it.admitted <= 0 }?.waitMillis
            when {
                waitMillis == Long.MAX_VALUE -> "target $id: a share of its request limit for this process"
                waitMillis != null -> "target $id: in $waitMillis ms, its request limit admits another request"
                view.load.backoffMillis > 0 -> "target $id: in ${view.load.backoffMillis} ms, its backoff ends"
                else -> null
            }
        }
    val chosen = service.targets.firstOrNull { it.id == service.choice }
    val next = service.targets.filter { it.id != chosen?.id && it.verdict.startsWith("not chosen") }
    val faster = next.minByOrNull { it.expectedMillis }?.takeIf { chosen != null }?.let { target ->
        "target ${target.id}: an expected time below ${format(chosen?.expectedMillis)} ms (now " +
            "${format(target.expectedMillis)} ms)"
    }
    val none = "a usable target of service ${service.name}".takeIf { chosen == null }
    return waits + listOfNotNull(faster, none)
}

private fun format(millis: Double?): String = String.format(java.util.Locale.ROOT, "%.1f", millis)
