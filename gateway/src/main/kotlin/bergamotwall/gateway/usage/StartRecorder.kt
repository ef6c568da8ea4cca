package bergamotwall.gateway.usage

import bergamotwall.gateway.forwarding.CallerRequest

/** Records when runs of callers' requests start at targets. Thread-safe. */
public interface StartRecorder {
    /**
     * Called when [request] is sent to a target at [sentAtMillis], on the monotonic clock. [streamed]: its run starts
     * with the first event, otherwise when the target begins to process it.
     */
    public fun sent(
        request: CallerRequest,
        sentAtMillis: Long,
        streamed: Boolean,
    ): SentRun

    /** Recorders. */
    public companion object {
        /** Records nothing. */
        public val NONE: StartRecorder =
            object : StartRecorder {
                override fun sent(
                    request: CallerRequest,
                    sentAtMillis: Long,
                    streamed: Boolean,
                ): SentRun = SentRun.NONE
            }
    }
}

/** A request that was sent to a target, and may or may not start there. */
public interface SentRun {
    /** The run has started at [atMillis]. Only the first call counts. */
    public fun started(atMillis: Long)

    /** The outcome is known; a streamed run may still start. */
    public fun ended()

    /** Runs. */
    public companion object {
        /** A run that is not recorded. */
        public val NONE: SentRun =
            object : SentRun {
                override fun started(atMillis: Long): Unit = Unit

                override fun ended(): Unit = Unit
            }
    }
}
