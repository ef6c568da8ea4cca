package bergamotwall.model

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json

/** Formats of the fleet's JSON documents. */
public object Jsons {
    /** For settings and intents: comments allowed, unknown fields refused. */
    @OptIn(ExperimentalSerializationApi::class)
    public val commented: Json =
        Json {
            allowComments = true
            allowTrailingComma = true
        }

    /** For documents between processes: unknown fields ignored, so that versions can differ. */
    public val wire: Json =
        Json {
            ignoreUnknownKeys = true
            encodeDefaults = true
        }

    /** For people: indented. */
    @OptIn(ExperimentalSerializationApi::class)
    public val pretty: Json =
        Json {
            prettyPrint = true
            prettyPrintIndent = "  "
            encodeDefaults = true
        }
}
