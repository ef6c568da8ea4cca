package bergamotwall.runtime

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.tinylog.Logger
import java.util.concurrent.atomic.AtomicLong

/** Number of times that a supervised loop of this process has failed. */
private val failures = AtomicLong()

/** Number of times that a loop started by [launchSupervised] has failed since the process started. */
public val supervisedFailures: Long get() = failures.get()

/**
 * Starts the loop [name] in this scope: [run], which returns when the loop is to end. If it fails with an error that
 * nothing expects, this is logged, and [run] starts again after a backoff, so that no single input ends the loop for
 * good. An error that leaves the JVM in an unknown state ends the process.
 */
public fun CoroutineScope.launchSupervised(
    name: String,
    run: suspend CoroutineScope.() -> Unit,
): Job =
    launch {
        var backoffMillis = FIRST_BACKOFF_MILLIS
        var startedAtNanos = System.nanoTime()
        while (!completes(name, run)) {
            val ranMillis = (System.nanoTime() - startedAtNanos) / NANOS_PER_MILLI
            if (ranMillis > RESET_MILLIS) backoffMillis = FIRST_BACKOFF_MILLIS
            delay(backoffMillis)
            backoffMillis = minOf(backoffMillis * 2, MAX_BACKOFF_MILLIS)
            startedAtNanos = System.nanoTime()
        }
    }

/**
 * Runs [work], part of the work called [name]. An exception that nothing expects is logged and counted like that of a
 * loop, and [onFailure] tells what follows from it, so that it does not end the caller.
 */
public suspend fun <T> recovering(
    name: String,
    onFailure: (Exception) -> T,
    work: suspend () -> T,
): T =
    try {
        work()
    } catch (e: CancellationException) {
        throw e
    } catch (
        @Suppress("TooGenericExceptionCaught") e: Exception,
    ) {
        failed(name, e)
        onFailure(e)
    }

private suspend fun completes(
    name: String,
    run: suspend CoroutineScope.() -> Unit,
): Boolean =
    try {
        coroutineScope { run() }
        true
    } catch (e: CancellationException) {
        currentCoroutineContext().ensureActive()
        failed(name, e)
    } catch (e: StackOverflowError) {
        failed(name, e)
    } catch (e: VirtualMachineError) {
        haltProcess(name, e)
        false
    } catch (
        @Suppress("TooGenericExceptionCaught") e: Throwable,
    ) {
        failed(name, e)
    }

private fun failed(
    name: String,
    cause: Throwable,
): Boolean {
    failures.incrementAndGet()
    Logger.error(cause, "event=loop_failed name={} cause=\"{}\"", name, cause.toString().take(MAX_CAUSE_CHARS))
    return false
}

private fun haltProcess(
    name: String,
    cause: Throwable,
) {
    Logger.error("event=process_ends name={} cause=\"{}\"", name, cause)
    Runtime.getRuntime().halt(EXIT_FATAL)
}

private const val FIRST_BACKOFF_MILLIS = 50L

/** A loop that always fails must neither fill the log nor be away for longer than a change may take. */
private const val MAX_BACKOFF_MILLIS = 1_000L

/** A loop that ran this long had recovered from its last failure. */
private const val RESET_MILLIS = 10_000L
private const val NANOS_PER_MILLI = 1_000_000L
private const val MAX_CAUSE_CHARS = 300
private const val EXIT_FATAL = 70
