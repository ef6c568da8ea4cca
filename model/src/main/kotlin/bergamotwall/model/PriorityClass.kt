package bergamotwall.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Priority of a request, the most urgent first. */
@Serializable
public enum class PriorityClass {
    /** A person waits for the answer. Never queued behind training. */
    @SerialName("application")
    APPLICATION,

    /** A sample of a step that a trainer waits for. */
    @SerialName("training")
    TRAINING,

    /** Work that gives way to all other. */
    @SerialName("background")
    BACKGROUND,
}
