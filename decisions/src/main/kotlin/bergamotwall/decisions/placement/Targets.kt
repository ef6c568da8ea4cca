package bergamotwall.decisions.placement

import bergamotwall.decisions.Ewma
import bergamotwall.model.TargetId

/** Targets of one dispatcher, by id and by position. Not thread-safe. */
internal class Targets {
    private val byId = HashMap<TargetId, TargetState>()
    private val positions = ArrayList<TargetState>()
    private val firstToken = Ewma(ALPHA)

    val size: Int get() = positions.size

    /** Smoothed first-token latency over all targets, in milliseconds. */
    val typicalFirstTokenMillis: Double get() = firstToken.value

    operator fun get(id: TargetId): TargetState? = byId[id]

    fun at(position: Int): TargetState = positions[position]

    fun all(): List<TargetState> = positions

    /** Number of requests that all usable targets together may run at once. */
    fun capacity(nowMillis: Long): Int = positions.sumOf { if (it.usable(nowMillis)) it.capacity else 0 }

    fun observeFirstToken(millis: Double): Unit = firstToken.add(millis)

    fun update(listed: List<DispatchTarget>) {
        listed.forEach { target ->
            val state = byId.getOrPut(target.id) { TargetState(target.id, target.address, target.dataCentre) }
            state.address = target.address
            state.dataCentre = target.dataCentre
            state.stopping = target.stopping
        }
        val ids = listed.map { it.id }.toSet()
        byId.entries.removeIf { it.key !in ids && it.value.running.isEmpty() }
        byId.values.filter { it.id !in ids }.forEach { it.stopping = true }
        positions.clear()
        positions += byId.values.sortedBy { it.id.value }
    }

    private companion object {
        private const val ALPHA = 0.05
    }
}
