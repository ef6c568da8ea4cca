package bergamotwall.decisions.membership

/** What a response of a follower says, as far as it decides whether it is accepted. */
public data class FollowerAnswer(
    /** Revision up to which the response holds the changes, or as of which it lists the entries. */
    val revision: Long,
    val ageMillis: Long,
    val waitedMillis: Long = 0,
    /** Highest revision of a contained entry, 0 if there is none. */
    val newestEntryRevision: Long = 0,
    /** Whether it contains changes, or lists all entries. */
    val hasContent: Boolean = false,
    /** Whether a key that the reader knows would get an older entry. */
    val revertsKey: Boolean = false,
)

/** Whether a response of a follower is accepted, or why not. */
public enum class FollowerVerdict {
    ACCEPTED,

    /** The follower has had no proof of its own for too long: it was paused, or has lost its paths to the service. */
    TOO_OLD,

    /** It would return the reader to an older state. */
    OLDER_STATE,

    /** It contradicts itself. */
    INCONSISTENT,
}

/**
 * Judges [answer], whose content must be of [lowestRevision] or later: a listing may be as old as what the reader has,
 * changes must be newer.
 *
 * Failure: a follower that was paused, cut off, or is faulty must not return a reader to an older state, nor make it
 * believe that it is current. A response without content is never older: if the reader is ahead of the follower, it
 * has seen all that the follower had seen at the time of its proof.
 */
public fun verdictOn(
    answer: FollowerAnswer,
    lowestRevision: Long,
    maxAgeMillis: Long,
): FollowerVerdict =
    when {
        answer.ageMillis < 0 || answer.waitedMillis < 0 || answer.newestEntryRevision > answer.revision ->
            FollowerVerdict.INCONSISTENT
        answer.hasContent && (answer.revertsKey || answer.revision < lowestRevision) ->
            FollowerVerdict.OLDER_STATE
        answer.ageMillis > maxAgeMillis -> FollowerVerdict.TOO_OLD
        else -> FollowerVerdict.ACCEPTED
    }
