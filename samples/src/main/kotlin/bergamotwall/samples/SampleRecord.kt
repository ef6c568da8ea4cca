package bergamotwall.samples

import bergamotwall.model.Sample
import bergamotwall.model.TrainerName
import kotlinx.serialization.Serializable

/** One line of a sample file: a sample, or the note that batches up to [batch] are acknowledged. */
@Serializable
internal data class SampleRecord(val trainer: TrainerName, val batch: Long, val sample: Sample? = null)
