package bergamotwall.gateway.streams

/** What a process knows by itself of where a stream began. */
public sealed interface OriginPeek {
    /** The stream began at [origin], as [source] tells. */
    public data class Known(val origin: StreamOrigin, val source: String) : OriginPeek

    /** The list of targets is too old for any stream to be resumed: [ageMillis], null if it was never read. */
    public data class OutdatedTargets(val ageMillis: Long?) : OriginPeek

    /** Only the key-value service can tell. */
    public data object InStore : OriginPeek
}
