package bergamotwall.gateway.streams

import kotlinx.serialization.Serializable

/** Timing of the records of where resumable streams began. */
@Serializable
public data class StreamSettings(
    /**
     * How long after its begin a stream can be resumed; longer than callers wait for a whole response, and than targets
     * go on serving after they were unregistered.
     */
    val retentionMillis: Long = 120_000,
    /** Shortest time between two writes of a process; a write holds up to 32 streams. */
    val minWriteMillis: Long = 20,
    /** The same for each registered process, so that the rate of writes does not grow with the fleet. */
    val writeMillisPerProcess: Long = 5,
    /** How long a resumed stream that is not on record waits for the process that began it to write the record. */
    val pendingMillis: Long = 300,
    /**
     * A process that has not known its list of targets to be current for this long resumes no stream: targets may have
     * been replaced. Longer than a long poll takes that returns without changes.
     */
    val targetsStaleMillis: Long = 5_000,
)
