package bergamotwall.model

import kotlinx.serialization.Serializable

/** Request to a rewarder: the sample to be scored. */
@Serializable
public data class ScoreRequest(val sample: SampleId, val prompt: String, val text: String)
