package bergamotwall.decisions

import bergamotwall.model.Fingerprint
import bergamotwall.model.NodeId
import bergamotwall.model.Offer
import bergamotwall.model.RequestId

/** A permit that is out: [offer] may run on [target]. */
internal class Permit(val offer: Offer, val target: TargetState, val expiresAtMillis: Long)

/** Permits that are out, and where each content runs. Not thread-safe. */
internal class PermitBook(private val headroom: Headroom) {
    private val permits = HashMap<RequestId, Permit>()
    private val targetsByContent = HashMap<Fingerprint, HashMap<TargetState, Int>>()

    val size: Int get() = permits.size

    fun find(request: RequestId): Permit? = permits[request]

    /** Targets that run [content] now. */
    fun targetsOf(content: Fingerprint): Set<TargetState> = targetsByContent[content]?.keys.orEmpty()

    fun issue(permit: Permit) {
        val offer = permit.offer
        permits[offer.request] = permit
        permit.target.running[offer.request] = offer.fingerprint
        targetsByContent.getOrPut(offer.fingerprint) { HashMap() }.merge(permit.target, 1, Int::plus)
        headroom.granted(offer.priorityClass)
    }

    fun release(
        request: RequestId,
        nowMillis: Long,
    ): Permit? {
        val permit = permits.remove(request) ?: return null
        permit.target.running.remove(request)
        permit.target.released(nowMillis)
        forgetContent(permit)
        headroom.released(permit.offer.priorityClass)
        return permit
    }

    fun releaseAllOf(
        requester: NodeId,
        nowMillis: Long,
    ) {
        val held = permits.values.map { it.offer }.filter { it.requester == requester }
        held.forEach { release(it.request, nowMillis) }
    }

    fun releaseExpired(nowMillis: Long) {
        val expired = permits.values.filter { it.expiresAtMillis <= nowMillis }
        expired.forEach { release(it.offer.request, nowMillis) }
    }

    private fun forgetContent(permit: Permit) {
        val content = permit.offer.fingerprint
        val counts = targetsByContent[content] ?: return
        counts.computeIfPresent(permit.target) { _, count -> (count - 1).takeIf { it > 0 } }
        if (counts.isEmpty()) targetsByContent.remove(content)
    }
}
