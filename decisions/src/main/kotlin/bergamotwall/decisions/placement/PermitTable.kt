package bergamotwall.decisions.placement

import bergamotwall.decisions.admission.Headroom
import bergamotwall.model.DispatchRequest
import bergamotwall.model.Fingerprint
import bergamotwall.model.NodeId
import bergamotwall.model.RequestId

/** An outstanding permit: [request] may run on [target]. */
internal class Permit(val request: DispatchRequest, val target: TargetState, val expiresAtMillis: Long)

/** Outstanding permits, and the targets that run each content. Not thread-safe. */
internal class PermitTable(private val headroom: Headroom) {
    private val permits = HashMap<RequestId, Permit>()
    private val targetsByContent = HashMap<Fingerprint, HashMap<TargetState, Int>>()

    val size: Int get() = permits.size

    fun find(id: RequestId): Permit? = permits[id]

    /** Targets that run [content] now. */
    fun targetsOf(content: Fingerprint): Set<TargetState> = targetsByContent[content]?.keys.orEmpty()

    fun issue(permit: Permit) {
        val request = permit.request
        permits[request.id] = permit
        permit.target.running[request.id] = request.fingerprint
        targetsByContent.getOrPut(request.fingerprint) { HashMap() }.merge(permit.target, 1, Int::plus)
        headroom.granted(request.priorityClass)
    }

    fun release(
        id: RequestId,
        nowMillis: Long,
    ): Permit? {
        val permit = permits.remove(id) ?: return null
        permit.target.running.remove(id)
        permit.target.released(nowMillis)
        removeContent(permit)
        headroom.released(permit.request.priorityClass)
        return permit
    }

    fun releaseAllOf(
        requester: NodeId,
        nowMillis: Long,
    ) {
        val outstanding = permits.values.map { it.request }.filter { it.requester == requester }
        outstanding.forEach { release(it.id, nowMillis) }
    }

    fun releaseExpired(nowMillis: Long) {
        val expired = permits.values.filter { it.expiresAtMillis <= nowMillis }
        expired.forEach { release(it.request.id, nowMillis) }
    }

    private fun removeContent(permit: Permit) {
        val content = permit.request.fingerprint
        val counts = targetsByContent[content] ?: return
        counts.computeIfPresent(permit.target) { _, count -> (count - 1).takeIf { it > 0 } }
        if (counts.isEmpty()) targetsByContent.remove(content)
    }
}
