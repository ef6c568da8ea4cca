package bergamotwall.gateway.http

/** Part of a target's answer, in order: one head, any bodies, then an end; or a break at any point. */
public sealed interface AnswerPart {
    /** Status and headers. */
    public data class Head(val status: Int, val headers: List<Header>) : AnswerPart

    /** Bytes of the body. */
    public class Body(public val bytes: ByteArray) : AnswerPart

    /** The answer is whole. */
    public data object End : AnswerPart

    /** No more will come. If not [mayHaveRun], the target can't have read the request. */
    public data class Broken(val reason: String, val mayHaveRun: Boolean) : AnswerPart
}
