package bergamotwall.gateway.targets

/** What is sent to a target. */
public enum class SendPurpose {
    /** The request of a caller. */
    REQUEST,

    /** An item of a batch. */
    ITEM,

    /** The reward call of an item. */
    REWARD,
}
