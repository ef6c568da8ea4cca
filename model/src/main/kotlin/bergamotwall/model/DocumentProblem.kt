package bergamotwall.model

/** Reason why a settings or intent document was rejected. [line] counts from 1. */
public data class DocumentProblem(
    val source: String,
    val line: Int,
    val field: String,
    val message: String,
    val fix: String
) {
    override fun toString(): String = "$source:$line: $field: $message. Fix: $fix"
}
