package bergamotwall.gateway.http

import kotlinx.coroutines.channels.ReceiveChannel

/** One request under way at a target. */
public interface TargetExchange {
    /** The parts of the answer; closed after [AnswerPart.End] or [AnswerPart.Broken]. */
    public val parts: ReceiveChannel<AnswerPart>

    /** Ends the exchange: closes the connection unless the answer is whole, which makes the target drop the request. */
    public fun cancel()
}
