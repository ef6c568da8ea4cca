package bergamotwall.model

import java.net.InetSocketAddress

/**
 * Address of a process: [host], and [port] from 1 to 65,535; 0 only where a server listens on any free port. Created by
 * [NetworkAddress.parse] and its siblings.
 */
public class NetworkAddress private constructor(public val host: String, public val port: Int) {
    /** The address for sockets; resolves [host] if it is a name. */
    public fun toSocketAddress(): InetSocketAddress = InetSocketAddress(host, port)

    /** The address of the same host with the next port, or null if there is none. */
    public fun nextPort(): NetworkAddress? = if (port < MAX_PORT) NetworkAddress(host, port + 1) else null

    override fun toString(): String = "$host:$port"

    /** Conversion from text. */
    public companion object {
        private const val MAX_PORT = 65_535
        private val HOST = Regex("[A-Za-z0-9._:\\[\\]-]+")

        /** The address whose text is [text], `host:port`, or null if it is none. */
        public fun parse(text: String): NetworkAddress? = parse(text, lowestPort = 1)

        /** The address at which a server is to listen, port 0 for any free one; fails if [text] is none. */
        public fun ofServer(text: String): NetworkAddress =
            requireNotNull(parse(text, lowestPort = 0)) { "not host:port: $text" }

        private fun parse(
            text: String,
            lowestPort: Int,
        ): NetworkAddress? {
            val host = text.substringBeforeLast(':', "")
            val digits = text.substringAfterLast(':', "")
            val port = digits.takeIf { it.all(('0'..'9')::contains) }?.toIntOrNull()
            val valid = port != null && port in lowestPort..MAX_PORT && HOST.matches(host)
            return if (valid) NetworkAddress(host, checkNotNull(port)) else null
        }

        /**
         * The address whose text is [text]; fails if it is none. For settings, which are checked when they are read.
         */
        public fun of(text: String): NetworkAddress = requireNotNull(parse(text)) { "not host:port: $text" }
    }
}
