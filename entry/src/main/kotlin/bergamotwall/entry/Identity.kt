package bergamotwall.entry

import bergamotwall.model.CallerIntent
import bergamotwall.model.PriorityClass
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.TrainerIntent
import bergamotwall.runtime.Blackboard
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.RequestHeaders

/** Header that names the class a caller asks for; it can only lower what the intent allows. */
internal const val PRIORITY_HEADER = "x-priority-class"

/** Header that states in how many milliseconds the caller gives up. */
internal const val DEADLINE_HEADER = "x-deadline-millis"

/** Header that makes a request recognisable when it is sent again. */
internal const val KEY_HEADER = "idempotency-key"

/** Header that carries the trace of the caller. */
internal const val TRACE_HEADER = "traceparent"

/** Tells who sends a request, by the confirmed intents. */
internal class Identity(private val board: Blackboard) {
    fun caller(headers: RequestHeaders): Result<CallerIntent, Problem> {
        val key = bearer(headers) ?: return Err(missing())
        val configuration = board.configuration.read()
        val trainer = configuration.trainer(key)
        val caller =
            configuration.caller(key)
                ?: trainer?.let { CallerIntent(bergamotwall.model.CallerName(it.name.value), key, PriorityClass.TRAINING) }
        return if (caller == null) Err(unknown()) else Ok(caller)
    }

    fun trainer(
        headers: RequestHeaders,
        name: String,
    ): Result<TrainerIntent, Problem> {
        val key = bearer(headers) ?: return Err(missing())
        val trainer = board.configuration.read().trainer(key) ?: return Err(unknown())
        if (trainer.name.value != name) return Err(Problem(ProblemKind.FORBIDDEN, "the key belongs to another trainer"))
        return Ok(trainer)
    }

    private fun bearer(headers: RequestHeaders): String? =
        headers
            .get(HttpHeaderNames.AUTHORIZATION)
            ?.takeIf { it.startsWith("Bearer ") }
            ?.removePrefix("Bearer ")
            ?.trim()

    private fun missing(): Problem =
        Problem(ProblemKind.UNAUTHENTICATED, "header Authorization is missing: send `Authorization: Bearer <key>`")

    private fun unknown(): Problem =
        Problem(ProblemKind.UNAUTHENTICATED, "no confirmed intent names this key: use the key of a caller or trainer")
}

/** Class of a request: what the caller asks for, but never above what its intent allows. */
internal fun priorityOf(
    caller: CallerIntent,
    headers: RequestHeaders,
): Result<PriorityClass, Problem> {
    val asked = headers.get(PRIORITY_HEADER) ?: return Ok(caller.priorityClass)
    val named = PriorityClass.entries.find { it.name.equals(asked, ignoreCase = true) }
    val names = PriorityClass.entries.joinToString { it.name.lowercase() }
    if (named == null) return Err(Problem(ProblemKind.BAD_REQUEST, "header $PRIORITY_HEADER: use one of $names"))
    return Ok(maxOf(named, caller.priorityClass))
}

/** Milliseconds until the caller gives up; [default] if it does not say. */
internal fun deadlineOf(
    headers: RequestHeaders,
    default: Long,
): Result<Long, Problem> {
    val text = headers.get(DEADLINE_HEADER) ?: return Ok(default)
    val millis = text.toLongOrNull()?.takeIf { it > 0 }
    val problem = Problem(ProblemKind.BAD_REQUEST, "header $DEADLINE_HEADER: give a positive number of milliseconds")
    return if (millis == null) Err(problem) else Ok(millis)
}
