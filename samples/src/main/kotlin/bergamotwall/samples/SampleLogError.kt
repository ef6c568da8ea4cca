package bergamotwall.samples

/** Why samples could not be stored. */
public sealed interface SampleLogError {
    /** The write failed, for example because the disk is full. None of its samples counts as stored. */
    public data class WriteFailed(val detail: String) : SampleLogError
}
