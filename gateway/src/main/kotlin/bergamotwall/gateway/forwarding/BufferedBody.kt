package bergamotwall.gateway.forwarding

import bergamotwall.drivers.http.BufferShare
import bergamotwall.drivers.http.SharedBuffer
import bergamotwall.gateway.http.ResponsePart
import java.io.ByteArrayOutputStream

/** The body of a response that is held in memory until it is complete, as part of [shared]. */
internal class BufferedBody(shared: SharedBuffer) {
    private val received = ArrayList<ResponsePart.Body>()
    private val share = BufferShare(shared)

    /** The parts received so far. */
    val parts: List<ResponsePart> get() = received

    fun add(part: ResponsePart.Body) {
        received += part
        share.add(part.bytes.size)
    }

    /** Whether more may be held: up to [maxBytes], and less if other responses hold much. */
    fun mayGrow(maxBytes: Int): Boolean = share.heldBytes <= maxBytes && share.mayGrow

    fun toByteArray(): ByteArray {
        val bytes = ByteArrayOutputStream(share.heldBytes.toInt())
        received.forEach { bytes.writeBytes(it.bytes) }
        return bytes.toByteArray()
    }

    /** Records that the body has been passed on or dropped. */
    fun release(): Unit = share.release()
}
