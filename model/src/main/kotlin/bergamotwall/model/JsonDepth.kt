package bergamotwall.model

/**
 * Whether objects and arrays are nested in the JSON [text] at most [maxDepth] deep. Reads [text] once, without building
 * anything: decoders recurse, and overflow the stack on a document that is nested deeply enough.
 */
public fun isJsonNestedWithin(
    text: String,
    maxDepth: Int,
): Boolean {
    var depth = 0
    var inString = false
    var escaped = false
    for (char in text) {
        when {
            escaped -> escaped = false
            inString && char == '\\' -> escaped = true
            char == '"' -> inString = !inString
            inString -> Unit
            char == '[' || char == '{' -> if (++depth > maxDepth) return false
            char == ']' || char == '}' -> depth--
        }
    }
    return true
}
