package bergamotwall.entry

import bergamotwall.model.CallerIntent
import bergamotwall.model.CallerName
import bergamotwall.model.PriorityClass
import bergamotwall.model.Problem
import bergamotwall.model.ProblemKind
import bergamotwall.model.TrainerIntent
import bergamotwall.runtime.FleetState
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import com.github.michaelbull.result.toResultOr
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.RequestHeaders

/** Header that requests a priority class; it can only lower the class that the caller's intent allows. */
internal const val PRIORITY_HEADER = "x-priority-class"

/** Header that gives the caller's deadline in milliseconds from now. */
internal const val DEADLINE_HEADER = "x-deadline-millis"

/** Header that identifies retries of the same request. */
internal const val KEY_HEADER = "idempotency-key"

/** Header that carries the caller's trace context (W3C Trace Context). */
internal const val TRACE_HEADER = "traceparent"

/** Authenticates requests by the bearer keys of the confirmed intents. */
internal class Authenticator(private val fleetState: FleetState) {
    /** The caller whose key the request carries. A trainer's key also counts, as a caller of class training. */
    fun caller(headers: RequestHeaders): Result<CallerIntent, Problem> =
        bearer(headers).toResultOr { missingKey() }.flatMap { key -> callerOf(key).toResultOr { unknownKey() } }

    private fun callerOf(key: String): CallerIntent? {
        val configuration = fleetState.configuration.read()
        return configuration.caller(key)
            ?: configuration.trainer(key)?.let { CallerIntent(CallerName(it.name.value), key, PriorityClass.TRAINING) }
    }

    /** The trainer whose key the request carries; fails if it is not the trainer called [name]. */
    fun trainer(
        headers: RequestHeaders,
        name: String,
    ): Result<TrainerIntent, Problem> =
        bearer(headers)
            .toResultOr { missingKey() }
            .flatMap { key -> fleetState.configuration.read().trainer(key).toResultOr { unknownKey() } }
            .flatMap { if (it.name.value == name) Ok(it) else Err(keyOfOtherTrainer) }

    private fun bearer(headers: RequestHeaders): String? =
        headers
            .get(HttpHeaderNames.AUTHORIZATION)
            ?.takeIf { it.startsWith("Bearer ") }
            ?.removePrefix("Bearer ")
            ?.trim()

    private fun missingKey(): Problem =
        Problem(ProblemKind.UNAUTHENTICATED, "header Authorization is missing: send `Authorization: Bearer <key>`")

    private fun unknownKey(): Problem =
        Problem(ProblemKind.UNAUTHENTICATED, "no confirmed intent names this key: use the key of a caller or trainer")
}

/** Priority class of a request: the one that its header requests, but never above the one that the intent allows. */
internal fun priorityOf(
    caller: CallerIntent,
    headers: RequestHeaders,
): Result<PriorityClass, Problem> {
    val requested = headers.get(PRIORITY_HEADER) ?: return Ok(caller.priorityClass)
    val names = PriorityClass.entries.joinToString { it.name.lowercase() }
    return PriorityClass.entries
        .find { it.name.equals(requested, ignoreCase = true) }
        .toResultOr { Problem(ProblemKind.BAD_REQUEST, "header $PRIORITY_HEADER: use one of $names") }
        .map { maxOf(it, caller.priorityClass) }
}

/** Milliseconds until the request's deadline; [default] if it has no [DEADLINE_HEADER]. */
internal fun deadlineOf(
    headers: RequestHeaders,
    default: Long,
): Result<Long, Problem> {
    val text = headers.get(DEADLINE_HEADER) ?: return Ok(default)
    val millis = text.toLongOrNull()?.takeIf { it > 0 }
    val problem = Problem(ProblemKind.BAD_REQUEST, "header $DEADLINE_HEADER: give a positive number of milliseconds")
    return if (millis == null) Err(problem) else Ok(millis)
}

private val keyOfOtherTrainer = Problem(ProblemKind.FORBIDDEN, "the key belongs to another trainer")
