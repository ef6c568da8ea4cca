package bergamotwall.runtime

import org.tinylog.configuration.Configuration

/**
 * Sets up tinylog: one line an event in key=value form on standard output, written by a thread of its own. Call before
 * the first log line.
 */
public fun configureLogs(
    process: String,
    level: String,
) {
    val quiet = if (level == "debug" || level == "trace") "info" else "warn"
    Configuration.set("writer", "console")
    Configuration.set("writer.stream", "out")
    Configuration.set("writingthread", "true")
    Configuration.set(
        "writer.format",
        "ts={date:yyyy-MM-dd'T'HH:mm:ss.SSS} level={level} process=$process at={class-name} {message}"
    )
    Configuration.set("level", quiet)
    Configuration.set("level@bergamotwall", level)
}
