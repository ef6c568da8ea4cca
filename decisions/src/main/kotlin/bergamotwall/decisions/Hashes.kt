package bergamotwall.decisions

import bergamotwall.model.Fingerprint
import bergamotwall.model.NodeId
import com.dynatrace.hash4j.hashing.Hashing

private const val PREFIX_CHARS = 256

/** 64-bit XXH3 hash of [text]. */
public fun hashOf(text: String): Long = Hashing.xxh3_64().hashCharsToLong(text)

/** Hash of the start of [prompt], by which requests that can share entries of a prefix cache are recognised. */
public fun prefixOf(prompt: String): Long = hashOf(prompt.take(PREFIX_CHARS))

/** Fingerprint of a request's content, independent of its caller, idempotency key and headers. */
public fun fingerprintOf(
    serves: String,
    content: String,
): Fingerprint = Fingerprint(hashOf("$serves\n$content"))

/** Fingerprint of a request that is forwarded as it is. [path] includes the query. */
public fun fingerprintOf(
    host: String,
    method: String,
    path: String,
    body: ByteArray,
): Fingerprint =
    Fingerprint(
        Hashing.xxh3_64().hashStream().putString(host).putString(method).putString(path).putByteArray(body).asLong
    )

/** How many of [nodes] precede [self] in the order of rendezvous hashing for [key]. */
public fun rankOf(
    key: String,
    self: NodeId,
    nodes: Collection<NodeId>,
): Int {
    val own = hashOf("$key@${self.value}")
    return nodes.count { it != self && hashOf("$key@${it.value}") > own }
}

/**
 * Owner of [key] among [nodes] by rendezvous hashing (Thaler and Ravishankar, 1998): the loss of a node moves only the
 * keys that it owned. Null if [nodes] is empty.
 */
public fun ownerOf(
    key: String,
    nodes: Collection<NodeId>,
): NodeId? = nodes.maxByOrNull { hashOf("$key@${it.value}") }
