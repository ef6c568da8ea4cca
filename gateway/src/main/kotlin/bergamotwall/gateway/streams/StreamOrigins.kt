package bergamotwall.gateway.streams

import bergamotwall.gateway.targets.Target
import bergamotwall.model.RequestId
import bergamotwall.model.ServiceName

/** Knows where resumable streams began, also those of other processes and from before a restart. Thread-safe. */
public interface StreamOrigins {
    /** Whether a stream may begin at [target], because every process will be able to tell its software version. */
    public fun mayBeginAt(target: Target): Boolean

    /** Records that the stream of [request] began at [target], one of several [services] that might have served it. */
    public fun began(
        request: RequestId,
        target: Target,
        services: Set<ServiceName>,
    )

    /**
     * Where the stream of request [first] to one of [services] began, or null if that is not known for certain. Waits
     * for a process that has not shared it yet. [first] is null if the caller does not name it.
     */
    public suspend fun find(
        first: RequestId?,
        services: Set<ServiceName>,
    ): StreamOrigin?

    /** What [find] would return, as far as this process knows it without a call. Changes no state. */
    public fun peek(
        first: RequestId?,
        services: Set<ServiceName>,
    ): OriginPeek = OriginPeek.InStore

    /** Instances without state. */
    public companion object {
        /** Knows of no stream. */
        public val NONE: StreamOrigins =
            object : StreamOrigins {
                override fun mayBeginAt(target: Target): Boolean = true

                override fun began(
                    request: RequestId,
                    target: Target,
                    services: Set<ServiceName>,
                ) = Unit

                override suspend fun find(
                    first: RequestId?,
                    services: Set<ServiceName>,
                ): StreamOrigin? = null
            }
    }
}
