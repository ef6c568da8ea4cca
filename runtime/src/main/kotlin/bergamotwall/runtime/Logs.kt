package bergamotwall.runtime

import org.tinylog.configuration.Configuration

/**
 * Configures tinylog to write one line per event, in key=value form, to standard output on a separate thread. [level]
 * applies to the project's own classes; libraries log less. Must be called before the first log line.
 */
public fun configureLogs(
    process: String,
    level: String,
) {
    val libraryLevel = if (level == "debug" || level == "trace") "info" else "warn"
    Configuration.set("writer", "console")
    Configuration.set("writer.stream", "out")
    Configuration.set("writingthread", "true")
    Configuration.set(
        "writer.format",
        "ts={date:yyyy-MM-dd'T'HH:mm:ss.SSS} level={level} process=$process at={class-name} {message}"
    )
    Configuration.set("level", libraryLevel)
    Configuration.set("level@bergamotwall", level)
    // Netty looks for a hardware address and Armeria registers its gauges per server; neither warning needs action.
    Configuration.set("level@io.netty.channel.DefaultChannelId", "error")
    Configuration.set("level@io.netty.util.internal.MacAddressUtil", "error")
    Configuration.set("level@io.micrometer", "error")
}
