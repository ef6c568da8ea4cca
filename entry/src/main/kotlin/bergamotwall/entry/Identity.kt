package bergamotwall.entry

import bergamotwall.model.CallerIntent
import bergamotwall.model.CallerName
import bergamotwall.model.PriorityClass
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.TrainerIntent
import bergamotwall.runtime.Blackboard
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import com.github.michaelbull.result.toResultOr
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
    fun caller(headers: RequestHeaders): Result<CallerIntent, Problem> =
        bearer(headers).toResultOr { missing() }.flatMap { key -> callerOf(key).toResultOr { unknown() } }

    private fun callerOf(key: String): CallerIntent? {
        val configuration = board.configuration.read()
        return configuration.caller(key)
            ?: configuration.trainer(key)?.let { CallerIntent(CallerName(it.name.value), key, PriorityClass.TRAINING) }
    }

    fun trainer(
        headers: RequestHeaders,
        name: String,
    ): Result<TrainerIntent, Problem> =
        bearer(headers)
            .toResultOr { missing() }
            .flatMap { key -> board.configuration.read().trainer(key).toResultOr { unknown() } }
            .flatMap { if (it.name.value == name) Ok(it) else Err(otherTrainer) }

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
    val names = PriorityClass.entries.joinToString { it.name.lowercase() }
    return PriorityClass.entries
        .find { it.name.equals(asked, ignoreCase = true) }
        .toResultOr { Problem(ProblemKind.BAD_REQUEST, "header $PRIORITY_HEADER: use one of $names") }
        .map { maxOf(it, caller.priorityClass) }
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

private val otherTrainer = Problem(ProblemKind.FORBIDDEN, "the key belongs to another trainer")
