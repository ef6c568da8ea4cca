package bergamotwall.samples

import bergamotwall.model.Sample
import bergamotwall.model.TrainerName
import kotlinx.serialization.Serializable

/** One line of a sample file: a sample of [batch] or, without a [sample], a release of all batches up to [batch]. */
@Serializable
internal data class SampleRecord(val trainer: TrainerName, val batch: Long, val sample: Sample? = null)
