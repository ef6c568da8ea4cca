package bergamotwall.decisions.membership

import bergamotwall.model.TargetId

/**
 * The targets that have said in a response that they are leaving, by incarnation: [departures] holds the latest
 * incarnation of each target that did. A departure is never revoked, and says nothing about later incarnations.
 */
public data class DepartureTable(public val departures: Map<TargetId, Departure> = emptyMap()) {
    /** Whether the incarnation of target [id] that started at [startedAtMillis] is leaving. */
    public fun contains(
        id: TargetId,
        startedAtMillis: Long?,
    ): Boolean = departures[id]?.includes(startedAtMillis) ?: false

    /** The table once the incarnation of target [id] that started at [startedAtMillis] has said that it is leaving. */
    public fun with(
        id: TargetId,
        startedAtMillis: Long?,
    ): DepartureTable =
        if (contains(id, startedAtMillis)) this else DepartureTable(departures + (id to Departure(startedAtMillis)))

    /**
     * The table at [nowMillis], when the targets [registered] are. A departure ends [retentionMillis] after its
     * target was last registered, as a registration may lapse and come back while its target leaves. Where the start
     * time is unknown, it ends with the registration, as later incarnations can't be told apart.
     */
    public fun next(
        registered: Set<TargetId>,
        nowMillis: Long,
        retentionMillis: Long,
    ): DepartureTable {
        val next = HashMap<TargetId, Departure>()
        departures.forEach { (id, departure) ->
            val sinceMillis = if (id in registered) null else departure.unregisteredAtMillis ?: nowMillis
            val ended =
                sinceMillis != null &&
                    (departure.startedAtMillis == null || nowMillis - sinceMillis >= retentionMillis)
            if (!ended) next[id] = departure.copy(unregisteredAtMillis = sinceMillis)
        }
        return if (next == departures) this else DepartureTable(next)
    }
}
