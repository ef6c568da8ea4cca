package bergamotwall.gateway.http

/** Part of a target's response: one head, any number of body parts, then the end; [Broken] may occur at any point. */
public sealed interface ResponsePart {
    /** Status and headers. */
    public data class Head(val status: Int, val headers: List<Header>) : ResponsePart

    /** Some bytes of the body. */
    public class Body(public val bytes: ByteArray) : ResponsePart

    /** The response is complete. */
    public data object End : ResponsePart

    /**
     * The exchange failed; no more parts follow. Unless [mayHaveRun], the target can't have read the request.
     * [disconnected]: the target ended the connection, as it does when it crashes. [unreachable]: no connection could
     * be established.
     */
    public data class Broken(
        val reason: String,
        val mayHaveRun: Boolean,
        val disconnected: Boolean = false,
        val unreachable: Boolean = false,
    ) : ResponsePart
}
