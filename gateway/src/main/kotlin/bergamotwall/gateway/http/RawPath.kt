package bergamotwall.gateway.http

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.server.ServiceRequestContext
import java.nio.charset.CharacterCodingException

/**
 * The request with the path and query that were sent, where Armeria has normalised them; [context] is the request's.
 * Null if they are not UTF-8, the only encoding in which they can be sent on.
 */
public fun AggregatedHttpRequest.withRawPath(context: ServiceRequestContext): AggregatedHttpRequest? =
    when (val raw = utf8OrNull(context.rawPath())) {
        null -> null
        path() -> this
        else -> AggregatedHttpRequest.of(headers().toBuilder().path(raw).build(), content(), trailers())
    }

/** [bytes], one in each character, decoded as UTF-8. */
private fun utf8OrNull(bytes: String): String? =
    try {
        if (bytes.all { it < FIRST_NON_ASCII }) bytes else decoded(bytes.toByteArray(Charsets.ISO_8859_1))
    } catch (_: CharacterCodingException) {
        null
    }

private fun decoded(bytes: ByteArray): String = bytes.decodeToString(throwOnInvalidSequence = true)

private const val FIRST_NON_ASCII = '\u0080'
