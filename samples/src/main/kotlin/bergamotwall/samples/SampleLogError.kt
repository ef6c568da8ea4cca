package bergamotwall.samples

/** Why a sample was not kept. */
public sealed interface SampleLogError {
    /** The disk refused the write; nothing of the sample counts as kept. */
    public data class DiskRefused(val detail: String) : SampleLogError
}
