package bergamotwall.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Priority of a request, most urgent first. */
@Serializable
public enum class PriorityClass {
    /** A person is waiting for the response. Never queued behind training. */
    @SerialName("application")
    APPLICATION,

    /** A sample for a step that a trainer is waiting for. */
    @SerialName("training")
    TRAINING,

    /** Work that yields to all other classes. */
    @SerialName("background")
    BACKGROUND,
}
