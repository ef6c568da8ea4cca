package bergamotwall.gateway.workspaces

import java.security.MessageDigest
import java.util.HexFormat

/** SHA-256 digest of a key, in hexadecimal. Not printed, because a weak key could be guessed from it. */
@JvmInline
public value class KeyDigest private constructor(private val hex: String) {
    override fun toString(): String = "KeyDigest"

    public companion object {
        /** The digest of [key]. */
        public fun of(key: String): KeyDigest {
            val digest = MessageDigest.getInstance("SHA-256").digest(key.toByteArray())
            return KeyDigest(HexFormat.of().formatHex(digest))
        }
    }
}
