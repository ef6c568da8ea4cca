package bergamotwall.gateway.usage

import kotlinx.serialization.Serializable

/** Settings of the reports on usage. */
@Serializable
public data class UsageSettings(
    /** Address of the platform's API, `host:port`. */
    val address: String,
    /** Length of a window. */
    val windowSeconds: Long = 5,
    /** Time after the end of a window by which its report is due. */
    val lateSeconds: Long = 10,
    /** Time to live of the leader's lease: how long the loss of the leader can go unnoticed. */
    val leaseTtlSeconds: Long = 3,
    /** Pause between the calls of two leaders, set by the platform. */
    val pauseMillis: Long = 3_000,
    /** Timeout of a call of the API. */
    val callTimeoutMillis: Long = 1_000,
    /** A leader gives up after the API has not responded for this long: another process may reach it. */
    val silenceMillis: Long = 5_000,
    /** How long a process that gave up the leadership does not acquire it again. */
    val abstainMillis: Long = 30_000,
    /** Interval at which the leader decides and sends. */
    val periodMillis: Long = 100,
    /** Interval at which processes push new starts to the leader. What a process had not pushed is lost with it. */
    val pushMillis: Long = 200,
)
