package bergamotwall.model

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json

/** Configured JSON formats for documents of the fleet. */
public object Jsons {
    /** For settings and intents: comments and trailing commas allowed, unknown fields rejected. */
    @OptIn(ExperimentalSerializationApi::class)
    public val withComments: Json =
        Json {
            allowComments = true
            allowTrailingComma = true
        }

    /** For documents between processes: unknown fields are ignored, so that versions of the software can differ. */
    public val wire: Json =
        Json {
            ignoreUnknownKeys = true
            encodeDefaults = true
        }

    /** For output that people read: indented. */
    @OptIn(ExperimentalSerializationApi::class)
    public val pretty: Json =
        Json {
            prettyPrint = true
            prettyPrintIndent = "  "
            encodeDefaults = true
        }
}
